package vigil

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	span  = 1000 * time.Millisecond
	every = 100 * time.Millisecond
)

func word(round, revision uint64) Word {
	return Word{Round: round, Epoch: 5, Out: true, Revision: revision}
}

// rounds plays the leader and one member, with words of the third given by f.
func rounds(n int, f func(round uint64) Word) (l Leader, m Member) {
	labels := []string{"a", "b", "c"}
	for now := time.Duration(0); n > 0; now += every {
		a, ok := l.Next(now, every, span)
		if !ok {
			continue
		}
		n--
		l.Hear("a", word(a.Round, 40), 5, span, labels)
		m.Answer(now, span, a)
		l.Hear("b", word(a.Round, 40), 5, span, labels)
		l.Hear("c", f(a.Round), 5, span, labels)
	}
	return l, m
}

func TestAllAgree(t *testing.T) {
	l, m := rounds(4, func(r uint64) Word { return word(r, 50) })
	if l.Till() != 300*time.Millisecond+span || m.Till() != 100*time.Millisecond+span {
		t.Fatal(l.Till(), m.Till())
	}
}

// Whatever one of them says otherwise, nobody may go on.
func TestOneDoesNotAgree(t *testing.T) {
	for name, change := range map[string]func(*Word){
		"is served":                      func(w *Word) { w.Out = false },
		"is in a later epoch":            func(w *Word) { w.Epoch = 6 },
		"has read nothing yet":           func(w *Word) { w.Revision = 0 },
		"told more before a restart":     func(w *Word) { w.Loaded = 41 },
		"does not know what it has told": func(w *Word) { w.Since = 41 },
		"answers an older question":      func(w *Word) { w.Round-- },
	} {
		l, m := rounds(4, func(r uint64) Word { w := word(r, 50); change(&w); return w })
		if l.Till() != 0 || m.Till() != 0 {
			t.Errorf("one that %s: %v, %v", name, l.Till(), m.Till())
		}
	}
}

func TestCancellationsAreHandedOn(t *testing.T) {
	l, _ := rounds(3, func(r uint64) Word {
		w := word(r, 50)
		w.Since, w.Cancelled = 40, []string{"job-2", "job-1", "job-2"}
		return w
	})
	if !slices.Equal(l.Void(), []string{"job-1", "job-2"}) {
		t.Fatal(l.Void())
	}
}

// The argument at the top of the package, played: whenever a controller enters a later
// epoch, whatever the delays and losses of messages and however the leader's rounds
// stand, nobody goes on for longer than span after that.
func TestNobodyGoesOnPastANewOwnersWait(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		labels := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "controllers")]
		ms := func(what string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, what)) * time.Millisecond
		}
		enters := map[string]time.Duration{}
		for _, x := range labels {
			enters[x] = time.Hour
			if rapid.IntRange(0, 2).Draw(rt, "enters") == 1 {
				enters[x] = ms("at", 4000)
			}
		}
		type packet struct {
			at   time.Duration
			to   string
			ask  Ask
			from string
			word Word
		}
		var wire []packet
		var l Leader
		members := map[string]*Member{}
		for _, x := range labels[1:] {
			members[x] = &Member{}
		}
		says := func(x string, now time.Duration, round uint64) Word {
			w := word(round, 40)
			if now >= enters[x] {
				w.Epoch = 6
			}
			return w
		}
		for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
			if a, ok := l.Next(now, every, span); ok {
				l.Hear(labels[0], says(labels[0], now, a.Round), 5, span, labels)
				for _, x := range labels[1:] {
					if rapid.IntRange(0, 19).Draw(rt, "lost") != 7 {
						wire = append(wire, packet{at: now + ms("there", 1600), to: x, ask: a})
					}
				}
			}
			for _, p := range slices.Clone(wire) {
				if p.at > now {
					continue
				}
				wire = slices.DeleteFunc(wire, func(q packet) bool {
					return q.at == p.at && q.to == p.to && q.ask.Round == p.ask.Round && q.from == p.from && q.word.Round == p.word.Round
				})
				if p.from != "" {
					l.Hear(p.from, p.word, 5, span, labels)
					continue
				}
				members[p.to].Answer(now, span, p.ask)
				if rapid.IntRange(0, 19).Draw(rt, "lost") != 7 {
					wire = append(wire, packet{at: now + ms("back", 300), from: p.to, word: says(p.to, now, p.ask.Round)})
				}
			}
		}
		first := slices.Min([]time.Duration{enters[labels[0]], enters[labels[1]], enters[labels[len(labels)-1]], enters[labels[min(2, len(labels)-1)]]})
		if l.Till() > first+span {
			rt.Fatalf("the leader goes on until %v, a new owner enters at %v", l.Till(), first)
		}
		for x, m := range members {
			if m.Till() > first+span {
				rt.Fatalf("%s goes on until %v, a new owner enters at %v", x, m.Till(), first)
			}
		}
	})
}
