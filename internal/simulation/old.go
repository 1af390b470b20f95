package simulation

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// The version before level 1, as far as it differs in what it stores and understands: it
// passes keys over that it does not know, drops fields that it does not know, and knows no
// limits but those in force.

// newKeys are the prefixes that it passes over.
var newKeys = []string{"c/run/", "c/admitted/", "c/fine/", "c/long/", "c/zones/"}

func knownToOld(key string) bool {
	for _, p := range newKeys {
		if strings.HasPrefix(key, p) {
			return false
		}
	}
	return true
}

// oldTakes is what of a command an old controller understands.
func oldTakes(c core.Command) core.Command {
	switch c := c.(type) {
	case core.Submit:
		c.Job.Needs = nil
		return c
	case core.LoadDone:
		var items []wire.Item
		for _, it := range c.Items {
			if knownToOld(it.Key) {
				items = append(items, it)
			}
		}
		if len(items) == 0 && c.More {
			items = c.Items[len(c.Items)-1:] // where the next page begins
		}
		c.Items = items
		return c
	case core.FollowDone:
		var events []wire.Event
		for _, e := range c.Answer.Events {
			if knownToOld(e.Put + e.Delete) {
				events = append(events, e)
			}
		}
		c.Answer.Events = events
		return c
	}
	return c
}

// oldWrites is what an old controller writes of a transaction.
func oldWrites(t wire.Txn) wire.Txn {
	then := make([]wire.Op, len(t.Then))
	for i, op := range t.Then {
		switch v := op.Value.(type) {
		case wire.JobRecord:
			v.Over = 0
			op.Value = v
		case wire.NodeRecord:
			v.Level = 0
			op.Value = v
		}
		then[i] = op
	}
	t.Then = then
	return t
}

// oldSays is what an old controller says to another of a message.
func oldSays(m wire.PeerMessage) wire.PeerMessage {
	if m.Word != nil {
		w := *m.Word
		w.IncludesMirror = false
		m.Word = &w
	}
	if m.Ask != nil {
		a := *m.Ask
		a.VotesIncludeMirror = false
		m.Ask = &a
	}
	return m
}
