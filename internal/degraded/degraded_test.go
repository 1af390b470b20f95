package degraded

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
	span     = 1000 * time.Millisecond
	interval = 100 * time.Millisecond
)

func agreeingVote(round, revision uint64) Vote {
	return Vote{Round: round, Epoch: 5, StoreDown: true, MirrorRevision: revision, IncludesMirror: true}
}

// playRounds plays the leader and one member, with words of the third given by f.
func playRounds(n int, f func(round uint64) Vote) (l Coordinator, m Voter) {
	labels := []string{"a", "b", "c"}
	for now := time.Duration(0); n > 0; now += interval {
		a, ok := l.NextRound(now, interval, span)
		if !ok {
			continue
		}
		n--
		l.ReceiveVote("a", agreeingVote(a.Number, 40), 5, span, labels)
		m.HandleRound(now, span, a)
		l.ReceiveVote("b", agreeingVote(a.Number, 40), 5, span, labels)
		l.ReceiveVote("c", f(a.Number), 5, span, labels)
	}
	return l, m
}

func TestServingContinuesWhenAllVotesAgree(t *testing.T) {
	l, m := playRounds(4, func(r uint64) Vote { return agreeingVote(r, 50) })
	if l.MayServeUntil() != 300*time.Millisecond+span || m.MayServeUntil() != 100*time.Millisecond+span {
		t.Fatal(l.MayServeUntil(), m.MayServeUntil())
	}
}

// Whatever one of them says otherwise, nobody may go on.
func TestOneDissentingVoteStopsServing(t *testing.T) {
	for name, change := range map[string]func(*Vote){
		"is served":                      func(w *Vote) { w.StoreDown = false },
		"is in a later epoch":            func(w *Vote) { w.Epoch = 6 },
		"has read nothing yet":           func(w *Vote) { w.MirrorRevision = 0 },
		"told more before a restart":     func(w *Vote) { w.LoadedRevision = 41 },
		"does not know what it has told": func(w *Vote) { w.CancelledSince = 41 },
		"answers an older question":      func(w *Vote) { w.Round-- },
		"lists its own answers alone":    func(w *Vote) { w.IncludesMirror = false },
	} {
		l, m := playRounds(4, func(r uint64) Vote { w := agreeingVote(r, 50); change(&w); return w })
		if l.MayServeUntil() != 0 || m.MayServeUntil() != 0 {
			t.Errorf("one that %s: %v, %v", name, l.MayServeUntil(), m.MayServeUntil())
		}
	}
}

// A member does not go on with the word of an older leader, who asks for less.
func TestVoterIgnoresOutcomeOfOlderLeader(t *testing.T) {
	var m Voter
	for r := uint64(1); r < 5; r++ {
		m.HandleRound(time.Duration(r)*interval, span, Round{Number: r, AgreedRound: r - 1})
	}
	if m.MayServeUntil() != 0 {
		t.Fatal(m.MayServeUntil())
	}
}

func TestCancellationLogReportsItsHorizon(t *testing.T) {
	var l CancellationLog
	for _, r := range []uint64{7, 5, 6, 5} {
		l.Record(fmt.Sprint("job-", r), r)
	}
	if since, jobs := l.Since(5); since != 5 || !slices.Equal(jobs, []string{"job-7", "job-6"}) {
		t.Fatal(since, jobs)
	}
	for r := range uint64(minCapacity - 1) {
		l.Record(fmt.Sprint("job-", 100+r), 100+r)
	}
	if since, jobs := l.Since(0); since != 7 || len(jobs) != minCapacity-1 {
		t.Fatal(since, len(jobs))
	}
}

// A log that is made for more holds them, and still takes the same one once.
func TestCancellationLogHoldsItsCapacity(t *testing.T) {
	for _, most := range []uint64{10, 8000, 16000} {
		l := NewCancellationLog(int(most))
		holds := max(most, minCapacity)
		for range 2 {
			for r := range holds {
				l.Record(fmt.Sprint("job-", r), 100+r)
			}
		}
		if since, jobs := l.Since(0); since != 0 || uint64(len(jobs)) != holds {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
		l.Record("job-one-more", 100+holds)
		l.Record("job-0", 100) // forgotten by now: it counts anew
		if since, jobs := l.Since(0); since != 101 || uint64(len(jobs)) != holds-1 {
			t.Fatalf("%d of %d since %d", len(jobs), holds, since)
		}
	}
}

// BenchmarkRecord is a cancellation that a full log takes, and one that it has.
func BenchmarkRecord(b *testing.B) {
	for _, most := range []int{1024, 16384} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			l := NewCancellationLog(most)
			names := make([]string, 4*most)
			for i := range names {
				names[i] = fmt.Sprint("job-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Record(names[i%len(names)], uint64(i))
				l.Record(names[i%len(names)], uint64(i))
			}
		})
	}
}

func TestCancellationsArePassedOn(t *testing.T) {
	l, _ := playRounds(3, func(r uint64) Vote {
		w := agreeingVote(r, 50)
		w.CancelledSince, w.Cancelled = 40, []string{"job-2", "job-1", "job-2"}
		return w
	})
	if !slices.Equal(l.CancelledJobs(), []string{"job-1", "job-2"}) {
		t.Fatal(l.CancelledJobs())
	}
}

// The argument at the top of the package, played: whenever a controller enters a later
// epoch, whatever the delays and losses of messages and however the leader's rounds
// stand, nobody goes on for longer than span after that.
func TestNoControllerServesPastANewOwnersWait(t *testing.T) {
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
			ask  Round
			from string
			word Vote
		}
		var wire []packet
		var l Coordinator
		members := map[string]*Voter{}
		for _, x := range labels[1:] {
			members[x] = &Voter{}
		}
		says := func(x string, now time.Duration, round uint64) Vote {
			w := agreeingVote(round, 40)
			if now >= enters[x] {
				w.Epoch = 6
			}
			return w
		}
		for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
			if a, ok := l.NextRound(now, interval, span); ok {
				l.ReceiveVote(labels[0], says(labels[0], now, a.Number), 5, span, labels)
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
					return q.at == p.at && q.to == p.to && q.ask.Number == p.ask.Number && q.from == p.from && q.word.Round == p.word.Round
				})
				if p.from != "" {
					l.ReceiveVote(p.from, p.word, 5, span, labels)
					continue
				}
				members[p.to].HandleRound(now, span, p.ask)
				if rapid.IntRange(0, 19).Draw(rt, "lost") != 7 {
					wire = append(wire, packet{at: now + ms("back", 300), from: p.to, word: says(p.to, now, p.ask.Number)})
				}
			}
		}
		first := slices.Min([]time.Duration{enters[labels[0]], enters[labels[1]], enters[labels[len(labels)-1]], enters[labels[min(2, len(labels)-1)]]})
		if l.MayServeUntil() > first+span {
			rt.Fatalf("the leader goes on until %v, a new owner enters at %v", l.MayServeUntil(), first)
		}
		for x, m := range members {
			if m.MayServeUntil() > first+span {
				rt.Fatalf("%s goes on until %v, a new owner enters at %v", x, m.MayServeUntil(), first)
			}
		}
	})
}

// simulatedController is a controller in the property below.
type simulatedController struct {
	cancellations  CancellationLog
	mirrorRevision uint64          // all up to here
	learned        map[string]bool // that it has learnt of others
	acknowledgedAt map[string]time.Duration
}

// Whatever writes get no answer, whoever tells and by whatever it knows, before an outage
// and while answers from before it still arrive: once a user was told, every controller that
// goes on for longer than span after that knows of the cancellation.
func TestAcknowledgedCancellationIsKnownToWhoeverServes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		labels := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(rt, "controllers")]
		chance := func(what string, n int) bool { return rapid.IntRange(0, n-1).Draw(rt, what) == 0 }
		peers, members := map[string]*simulatedController{}, map[string]*Voter{}
		for _, x := range labels {
			peers[x] = &simulatedController{learned: map[string]bool{}, acknowledgedAt: map[string]time.Duration{}}
			members[x] = &Voter{}
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
		tell := func(p *simulatedController, job string) {
			if _, ok := p.acknowledgedAt[job]; !ok {
				p.acknowledgedAt[job] = now
			}
		}
		read := func(p *simulatedController, till uint64) {
			for ; p.mirrorRevision < till; p.mirrorRevision++ {
				p.cancellations.Record(jobs[p.mirrorRevision], p.mirrorRevision+1)
			}
		}
		const out, end = 800 * time.Millisecond, 4 * time.Second // when the outage begins
		alone := time.Duration(rapid.IntRange(0, 800).Draw(rt, "the leader is refused at")) * time.Millisecond
		served := func(x string) bool { return now < out && (x != "a" || now < alone) }
		var l Coordinator
		answer := func(x string, ask Round) Vote {
			w := Vote{Round: ask.Number, Epoch: 5, StoreDown: !served(x), MirrorRevision: peers[x].mirrorRevision + 1, IncludesMirror: true}
			w.CancelledSince, w.Cancelled = peers[x].cancellations.Since(max(ask.CancelledSince, 1) - 1)
			w.CancelledSince++ // an empty mirror is revision 1 here
			return w
		}
		learn := func(x string, jobs []string) {
			for _, j := range jobs {
				peers[x].learned[j] = true
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
						after(300, func() { p.cancellations.Record(job, r); tell(p, job) })
					}
				}
				if served(x) && chance("reads", 4) {
					r := uint64(len(jobs))
					after(300, func() { read(p, r) })
				}
				if p.mirrorRevision > 0 && chance("asked", 4) {
					tell(p, jobs[rapid.IntRange(0, int(p.mirrorRevision)-1).Draw(rt, "about")])
				}
			}
			if ask, ok := l.NextRound(now, interval, span); ok {
				l.ReceiveVote("a", answer("a", ask), 5, span, labels)
				for _, x := range labels[1:] {
					after(60, func() {
						w := answer(x, ask)
						members[x].HandleRound(now, span, ask)
						learn(x, ask.Cancelled)
						after(60, func() { l.ReceiveVote(x, w, 5, span, labels) })
					})
				}
			}
			learn("a", l.CancelledJobs())
			for _, x := range labels {
				till := members[x].MayServeUntil()
				if x == "a" {
					till = l.MayServeUntil()
				}
				if now >= till {
					continue
				}
				for _, p := range peers {
					for job, at := range p.acknowledgedAt {
						known := peers[x].learned[job] || slices.Contains(jobs[:peers[x].mirrorRevision], job)
						if !known && now-at > span {
							rt.Fatalf("%s goes on at %v and does not know of %s, told at %v", x, now, job, at)
						}
					}
				}
				servingSteps++
			}
		}
	})
	if servingSteps == 0 {
		t.Fatal("nobody ever went on: nothing was shown")
	}
}

// servingSteps counts the moments in which a controller of the property above went on.
var servingSteps int
