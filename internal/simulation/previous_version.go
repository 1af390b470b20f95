package simulation

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The previous version, before level 1, as far as it differs in what it stores and
// understands: it ignores keys and drops fields that it does not know, and knows no limits
// but those in force.

// newVersionKeyPrefixes are the prefixes of the keys that it ignores.
var newVersionKeyPrefixes = []string{"c/run/", "c/admitted/", "c/fine/", "c/long/", "c/zones/"}

func knownToPreviousVersion(key string) bool {
	return !slices.ContainsFunc(newVersionKeyPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// previousVersionCommand is what of a command the previous version understands.
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

// previousVersionItems are the items of a page that the previous version knows. If it knows
// none, the last one stays in a page that others follow: it says where the next one begins.
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

// previousVersionTransaction is what the previous version writes of a transaction.
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

// previousVersionMessage is what the previous version sends of a message to a peer.
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
