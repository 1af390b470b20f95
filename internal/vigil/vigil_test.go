package vigil

import (
	"flag"
	"fmt"
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
	return Word{Round: round, Epoch: 5, Out: true, Revision: revision, Mirrored: true}
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
		"lists its own answers alone":    func(w *Word) { w.Mirrored = false },
	} {
		l, m := rounds(4, func(r uint64) Word { w := word(r, 50); change(&w); return w })
		if l.Till() != 0 || m.Till() != 0 {
			t.Errorf("one that %s: %v, %v", name, l.Till(), m.Till())
		}
	}
}

// A member does not go on with the word of an older leader, who asks for less.
func TestOlderLeaderIsNotEnough(t *testing.T) {
	var m Member
	for r := uint64(1); r < 5; r++ {
		m.Answer(time.Duration(r)*every, span, Ask{Round: r, Agreed: r - 1})
	}
	if m.Till() != 0 {
		t.Fatal(m.Till())
	}
}

func TestLogSaysWhatItHasForgotten(t *testing.T) {
	var l Log
	for _, r := range []uint64{7, 5, 6, 5} {
		l.Note(fmt.Sprint("job-", r), r)
	}
	if since, jobs := l.Since(5); since != 5 || !slices.Equal(jobs, []string{"job-7", "job-6"}) {
		t.Fatal(since, jobs)
	}
	for r := range uint64(leastMost - 1) {
		l.Note(fmt.Sprint("job-", 100+r), 100+r)
	}
	if since, jobs := l.Since(0); since != 7 || len(jobs) != leastMost-1 {
		t.Fatal(since, len(jobs))
	}
}

// A log that is made for more holds them, and still takes the same one once.
func TestLogHoldsWhatItIsMadeFor(t *testing.T) {
	for _, most := range []uint64{10, 8000, 16000} {
		l := NewLog(int(most))
		holds := max(most, leastMost)
		for range 2 {
			for r := range holds {
				l.Note(fmt.Sprint("job-", r), 100+r)
			}
		}
		if since, jobs := l.Since(0); since != 0 || uint64(len(jobs)) != holds {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
		l.Note("job-one-more", 100+holds)
		l.Note("job-0", 100) // forgotten by now: it counts anew
		if since, jobs := l.Since(0); since != 101 || uint64(len(jobs)) != holds-1 {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
	}
}

// BenchmarkNote is a cancellation that a full log takes, and one that it has.
func BenchmarkNote(b *testing.B) {
	for _, most := range []int{1024, 16384} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			l := NewLog(most)
			names := make([]string, 4*most)
			for i := range names {
				names[i] = fmt.Sprint("job-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Note(names[i%len(names)], uint64(i))
				l.Note(names[i%len(names)], uint64(i))
			}
		})
	}
}

func TestCancellationsAreHandedOn(t *testing.T) {
	l, _ := rounds(3, func(r uint64) Word {
		w := word(r, 50)
		w.Since, w.Cancelled = 40, []string{"job-2", "job-1", "job-2"}
		return w
	})
	if !slices.Equal(l.Cancelled(), []string{"job-1", "job-2"}) {
		t.Fatal(l.Cancelled())
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

// peer is a controller in the property below.
type peer struct {
	log    Log
	mirror uint64          // all up to here
	learnt map[string]bool // that it has learnt of others
	told   map[string]time.Duration
}

// Whatever writes get no answer, whoever tells and by whatever it knows, before an outage
// and while answers from before it still arrive: once a user was told, every controller that
// goes on for longer than span after that knows of the cancellation.
func TestWhatAnyUserWasToldIsStopped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		labels := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "controllers")]
		chance := func(what string, n int) bool { return rapid.IntRange(0, n-1).Draw(rt, what) == 0 }
		peers, members := map[string]*peer{}, map[string]*Member{}
		for _, x := range labels {
			peers[x] = &peer{learnt: map[string]bool{}, told: map[string]time.Duration{}}
			members[x] = &Member{}
		}
		type event struct {
			at time.Duration
			do func()
		}
		var events []event
		now := time.Duration(0)
		after := func(most int, do func()) {
			events = append(events, event{now + time.Duration(rapid.IntRange(1, most).Draw(rt, "ms"))*time.Millisecond, do})
		}
		var jobs []string // that of revision r is jobs[r-1]
		tell := func(p *peer, job string) {
			if _, ok := p.told[job]; !ok {
				p.told[job] = now
			}
		}
		read := func(p *peer, till uint64) {
			for ; p.mirror < till; p.mirror++ {
				p.log.Note(jobs[p.mirror], p.mirror+1)
			}
		}
		const out, end = 800 * time.Millisecond, 4 * time.Second // when the outage begins
		alone := time.Duration(rapid.IntRange(0, 800).Draw(rt, "the leader is refused at")) * time.Millisecond
		served := func(x string) bool { return now < out && (x != "a" || now < alone) }
		var l Leader
		answer := func(x string, ask Ask) Word {
			w := Word{Round: ask.Round, Epoch: 5, Out: !served(x), Revision: peers[x].mirror + 1, Mirrored: true}
			w.Since, w.Cancelled = peers[x].log.Since(max(ask.Since, 1) - 1)
			w.Since++ // an empty mirror is revision 1 here
			return w
		}
		learn := func(x string, jobs []string) {
			for _, j := range jobs {
				peers[x].learnt[j] = true
			}
		}
		for ; now < end; now += 20 * time.Millisecond {
			for n := 0; n < len(events); n++ {
				if e := events[n]; e.at <= now {
					events = slices.Delete(events, n, n+1)
					n--
					e.do()
				}
			}
			for _, x := range labels {
				p := peers[x]
				if served(x) && chance("cancels", 12) {
					jobs = append(jobs, fmt.Sprint("job-", len(jobs)))
					job, r := jobs[len(jobs)-1], uint64(len(jobs))
					if !chance("no answer", 3) {
						after(300, func() { p.log.Note(job, r); tell(p, job) })
					}
				}
				if served(x) && chance("reads", 4) {
					r := uint64(len(jobs))
					after(300, func() { read(p, r) })
				}
				if p.mirror > 0 && chance("asked", 4) {
					tell(p, jobs[rapid.IntRange(0, int(p.mirror)-1).Draw(rt, "about")])
				}
			}
			if ask, ok := l.Next(now, every, span); ok {
				l.Hear("a", answer("a", ask), 5, span, labels)
				for _, x := range labels[1:] {
					after(60, func() {
						w := answer(x, ask)
						members[x].Answer(now, span, ask)
						learn(x, ask.Cancelled)
						after(60, func() { l.Hear(x, w, 5, span, labels) })
					})
				}
			}
			learn("a", l.Cancelled())
			for _, x := range labels {
				till := members[x].Till()
				if x == "a" {
					till = l.Till()
				}
				if now >= till {
					continue
				}
				for _, p := range peers {
					for job, at := range p.told {
						known := peers[x].learnt[job] || slices.Contains(jobs[:peers[x].mirror], job)
						if !known && now-at > span {
							rt.Fatalf("%s goes on at %v and does not know of %s, told at %v", x, now, job, at)
						}
					}
				}
				goesOn++
			}
		}
	})
	if goesOn == 0 {
		t.Fatal("nobody ever went on: nothing was shown")
	}
}

// goesOn counts the moments in which a controller of the property above went on.
var goesOn int
