package simulation

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The version before level 1, as far as it differs in what it stores and understands: it
// passes keys over that it does not know, drops fields that it does not know, and knows no
// limits but those in force.

// keysOfNewVersion are the prefixes that it passes over.
var keysOfNewVersion = []string{"c/run/", "c/admitted/", "c/fine/", "c/long/", "c/zones/"}

func knownToPreviousVersion(key string) bool {
	for _, p := range keysOfNewVersion {
		if strings.HasPrefix(key, p) {
			return false
		}
	}
	return true
}

// previousVersionReceives is what of a command an old controller understands.
func previousVersionReceives(c core.Command) core.Command {
	switch c := c.(type) {
	case core.SubmitJob:
		c.Spec.Dependencies = nil
		return c
	case core.LoadResult:
		var items []protocol.KeyValue
		for _, it := range c.Items {
			if knownToPreviousVersion(it.Key) {
				items = append(items, it)
			}
		}
		if len(items) == 0 && c.More {
			items = c.Items[len(c.Items)-1:] // where the next page begins
		}
		c.Items = items
		return c
	case core.WatchResult:
		var events []protocol.WatchEvent
		for _, e := range c.Answer.Events {
			if knownToPreviousVersion(e.Put + e.Delete) {
				events = append(events, e)
			}
		}
		c.Answer.Events = events
		return c
	}
	return c
}

// previousVersionWrites is what an old controller writes of a transaction.
func previousVersionWrites(t protocol.Transaction) protocol.Transaction {
	then := make([]protocol.Operation, len(t.Then))
	for i, op := range t.Then {
		switch v := op.Value.(type) {
		case records.Job:
			v.DoneAt = 0
			op.Value = v
		case records.Node:
			v.Level = 0
			op.Value = v
		}
		then[i] = op
	}
	t.Then = then
	return t
}

// previousVersionSends is what an old controller says to another of a message.
func previousVersionSends(m peerproto.Message) peerproto.Message {
	if m.Vote != nil {
		w := *m.Vote
		w.IncludesMirror = false
		m.Vote = &w
	}
	if m.Round != nil {
		a := *m.Round
		a.VotesIncludeMirror = false
		m.Round = &a
	}
	return m
}
