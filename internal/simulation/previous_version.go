package simulation

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// This file simulates a controller of the previous version, which precedes records.FormatLevel 1.
// A node of that version runs the current core, and these functions filter what the core stores,
// sends and receives: the previous version ignores keys that it does not know, and drops fields
// that it does not know. It does not know the announced limits of the store either, only those in
// force; Node.Start removes the announced limits from its settings.

// newVersionKeyPrefixes are the prefixes of the keys that the previous version does not know.
var newVersionKeyPrefixes = []string{"c/run/", "c/admitted/", "c/fine/", "c/long/", "c/zones/"}

func knownToPreviousVersion(key string) bool {
	return !slices.ContainsFunc(newVersionKeyPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// previousVersionCommand returns the part of a command that the previous version understands.
func previousVersionCommand(command core.Command) core.Command {
	switch command := command.(type) {
	case core.SubmitJob:
		command.Spec.Dependencies = nil
		return command
	case core.LoadResult:
		command.Items = previousVersionItems(command)
		return command
	case core.WatchResult:
		command.Response.Events = previousVersionEvents(command.Response.Events)
		return command
	}
	return command
}

// previousVersionItems returns the items of a page whose keys the previous version knows. If it
// knows none and more pages follow, the last item is kept, because the next page begins after its
// key.
func previousVersionItems(page core.LoadResult) []protocol.KeyValue {
	var known []protocol.KeyValue
	for _, item := range page.Items {
		if knownToPreviousVersion(item.Key) {
			known = append(known, item)
		}
	}
	if len(known) == 0 && page.More {
		known = page.Items[len(page.Items)-1:]
	}
	return known
}

func previousVersionEvents(events []protocol.WatchEvent) []protocol.WatchEvent {
	var known []protocol.WatchEvent
	for _, event := range events {
		if knownToPreviousVersion(event.Put + event.Delete) {
			known = append(known, event)
		}
	}
	return known
}

// previousVersionTransaction returns a transaction without the fields that the previous version
// does not write.
func previousVersionTransaction(txn protocol.Transaction) protocol.Transaction {
	operations := make([]protocol.Operation, len(txn.Then))
	for i, operation := range txn.Then {
		switch value := operation.Value.(type) {
		case records.Job:
			value.DoneAt = 0
			operation.Value = value
		case records.Node:
			value.Level = 0
			operation.Value = value
		}
		operations[i] = operation
	}
	txn.Then = operations
	return txn
}

// previousVersionMessage returns a message to a peer without the fields that the previous version
// does not send.
func previousVersionMessage(message peerproto.Message) peerproto.Message {
	if message.Vote != nil {
		vote := *message.Vote
		vote.IncludesMirror = false
		message.Vote = &vote
	}
	if message.Round != nil {
		round := *message.Round
		round.VotesIncludeMirror = false
		message.Round = &round
	}
	return message
}
