package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Stories of the meetings that the users named first; docs/fault-interleavings.md says what each goes
// through, and without which guard it was seen to fail.

// startScenario begins a story with so many controllers, whose settings change may alter first.
func startScenario(t testing.TB, seed uint64, controllers int, change func(*config.Site)) *scenario {
	t.Helper()
	set := simulation.Settings(controllers)
	if change != nil {
		change(&set.Site)
	}
	s := &scenario{World: simulation.Build(seed, set, simulation.Types()), t: t}
	s.eventually(20*second, "the nodes are ready", func() bool {
		return !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return !n.Ready })
	})
	return s
}

// acrossSeeds plays a story over several seeds, with three controllers and with five.
func acrossSeeds(t *testing.T, first, seeds uint64, play func(t *testing.T, k, controllers int, seed uint64)) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				play(t, int(seed), controllers, first+seed)
			}
		})
	}
}

// startFull begins a story with twelve machines that are full: team red at its limit, a job that goes
// on for a minute, and one that is to be cancelled.
func startFull(t *testing.T, seed uint64, controllers int) (s *scenario, gone *simulation.Job) {
	s = startScenario(t, seed, controllers, nil)
	s.addMachines(12)
	spec := simulation.Array(24)
	spec.Team = "red"
	s.Users.Submit(spec, 40)
	s.Users.Submit(simulation.Array(8), 60)
	gone = s.Users.Submit(simulation.Array(16), 200)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 48 })
	return
}

// recoverAndFinish ends a story: no trouble is left, every user hears how its job ended, and nobody waits
// for nothing.
func (s *scenario) recoverAndFinish(d time.Duration) {
	s.t.Helper()
	s.State.LateShare, s.State.Slow, s.State.Refuses = 0, 0, map[string]bool{}
	s.Copies, s.KeepReports, s.Users.AtEnd, s.Cloud.Out = 0, false, 0, false
	s.Users.Calm = s.Now
	s.eventually(d, "all is over", s.Users.AllTold)
}

// crashLeader crashes whoever leads.
func (s *scenario) crashLeader(back time.Duration) {
	if n := s.currentLeader(); n != nil {
		n.Crash(back)
	}
}

// Users ask at all nodes within milliseconds, and hand in again, whatever was accepted, has
// ended or is called cancelled, of every kind of job, while nodes start and read anew and the
// service is slow: no node says anything older.
func TestReadsAreMonotonicAcrossNodes(t *testing.T) {
	acrossSeeds(t, 3000, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.addMachines(8)
		s.Users.CloseLooks, s.Users.AtEnd = true, 0.3
		kinds := []protocol.Job{simulation.Array(1), simulation.Array(3), simulation.Array(40), simulation.Array(2), simulation.Array(1)}
		kinds[3].MachineTypes = []string{"box", "barn"}
		kinds[4] = withManyTypes(kinds[4]) // its description goes into pieces
		var last *simulation.Job
		for k := range 24 {
			spec := kinds[k%len(kinds)]
			if k%6 == 5 && last != nil && last.Accepted {
				spec.Dependencies = []string{last.Spec.ID}
			}
			j := s.Users.Submit(spec, float64(1+k%4))
			for range 6 * (k % 3 / 2) { // some come many at a time, into lots
				s.Users.Submit(simulation.Array(1), 2)
			}
			last = j
			switch k % 8 {
			case 1:
				s.Until(s.Now+5*second, func() bool { return j.Accepted })
				s.Users.Abort(j)
			case 3:
				s.After(3*second, func() { s.Users.Abort(j) })
			case 5:
				s.State.Forgot[s.Nodes[k%controllers].Label] = true
			case 6:
				s.Nodes[k%controllers].Crash(second / 5)
			case 7:
				s.State.Slow = time.Duration(k%3) * 100 * time.Millisecond
			}
			s.Run(s.Now + 2*second)
		}
		s.recoverAndFinish(200 * second)
		if s.Users.Looks < 1000 {
			t.Fatalf("only %d close looks were answered", s.Users.Looks)
		}
	})
}

// keyPrefixes are the kinds of write, by the key that each changes; docs/fault-interleavings.md has the same
// table.
var keyPrefixes = []string{"c/node/", "c/leader", "c/map", "c/rigs/", "c/job/", "c/run/", "c/accepted/", "c/admitted/",
	"c/prog/", "c/long/", "c/est", "c/types", ""}

// Every transaction of one kind is carried out at once and its answer is lost, or half of
// them are carried out late: others act on what they read, the writer's next try finds it, and
// the work is done all the same.
func TestLostOrLateCommitAnswers(t *testing.T) {
	for _, key := range keyPrefixes {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s late %v", key, late), func(t *testing.T) {
				t.Parallel()
				lost := 0
				for seed := range uint64(2) {
					lost += simulateLostAnswers(t, 3100+seed, key, late)
				}
				if lost == 0 && key != "c/types" { // which are written once, before any story can begin
					t.Fatal("no transaction was like that: nothing was shown")
				}
			})
		}
	}
}

// simulateLostAnswers is such a day; it returns how many transactions were like that.
func simulateLostAnswers(t *testing.T, seed uint64, key string, late bool) int {
	s := &scenario{World: simulation.Build(seed, simulation.Settings(3), simulation.Types()), t: t}
	s.State.LateOnly, s.State.LateShare = key, 1
	if key == "" {
		s.State.LateShare = 0.7
	}
	if late {
		s.State.LateShare, s.State.LateFrom, s.State.LateBy = 0.6, 2*second, 12*second
	}
	s.Users.CloseLooks = true
	s.Run(s.Now + 15*second)
	s.addMachines(8)
	head := s.Users.Submit(simulation.Array(1), 80) // that others wait for
	var jobs []*simulation.Job
	for k := range 18 {
		spec := simulation.Array(1 + k%3*12)
		spec.Team = []string{"blue", "red"}[k%2]
		if k%5 == 4 && head.Accepted {
			spec.Dependencies = []string{head.Spec.ID}
		}
		if k%7 == 0 { // its description goes into pieces
			spec = withManyTypes(spec)
		}
		j := s.Users.Submit(spec, float64(2+k%4*4))
		jobs = append(jobs, j)
		if k%6 == 2 { // more than may have a write each
			for n := range 48 {
				one := simulation.Array(1)
				if n%2 == 0 && head.Accepted {
					one.Dependencies = []string{head.Spec.ID}
				}
				s.Users.Submit(one, 2)
			}
		}
		if k%4 == 1 {
			s.After(4*second, func() { s.Users.Abort(j) })
		}
		if k == 6 || k == 14 {
			s.crashLeader(second / 5)
		}
		if k%3 == 1 { // the map changes, and back
			s.Nodes[k%len(s.Nodes)].Crash(2 * second)
		}
		s.Run(s.Now + 3*second)
	}
	s.eventually(400*second, "the work is done although answers are still lost", s.Users.AllTold)
	s.recoverAndFinish(second)
	return s.State.Late
}

// withManyTypes makes a job's description larger than a value.
func withManyTypes(spec protocol.Job) protocol.Job {
	for n := range 2500 {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("type-%06d", n))
	}
	spec.MachineTypes = append(spec.MachineTypes, "box")
	return spec
}

// startAtQuota has every team at its limit, machines full of their long tasks, as many free, and more jobs
// waiting.
func startAtQuota(t *testing.T, seed uint64, controllers int) (s *scenario, full, more []*simulation.Job) {
	s = startScenario(t, seed, controllers, func(x *config.Site) {
		x.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 8, CPUsMax: 16}, {Name: "guest", CPUs: 4, CPUsMax: 16}}
	})
	s.addMachines(24) // of which half stay free
	for _, team := range []string{"red", "blue", "guest"} {
		spec := simulation.Array(8)
		spec.Team = team
		full = append(full, s.Users.Submit(spec, 500), s.Users.Submit(spec, 500))
	}
	s.eventually(60*second, "all limits are reached", func() bool { return s.Users.Running() == 48 })
	for _, team := range []string{"red", "blue", "guest"} {
		spec := simulation.Array(8)
		spec.Team = team
		more = append(more, s.Users.Submit(spec, 20))
	}
	s.Run(s.Now + 3*second)
	return
}

// Every team is at its limit and jobs are cancelled whose machines are cut off or hang, or hang
// and resume within their lease, while the leader ends once, or three times: no limit is
// passed, and what was freed is used again within a lease and two reports of the last end.
func TestQuotasHoldDuringFailovers(t *testing.T) {
	for _, how := range []string{"cut", "hang", "resume", "mute"} {
		for _, ends := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d ends", how, ends), func(t *testing.T) {
				acrossSeeds(t, 3200, 2, func(t *testing.T, k, controllers int, seed uint64) {
					s, full, more := startAtQuota(t, seed, controllers)
					s.Cloud.Out = true // or they would be deleted, which frees them at once
					gone := []*simulation.Job{full[0], full[2], full[4]}
					trouble := func(m *simulation.Worker) {
						switch how {
						case "cut":
							for _, n := range s.Nodes {
								s.Cut(n.Label, m.Info.Name, k%2 == 0)
							}
						case "mute":
							m.Mute = true
							for _, n := range s.Nodes { // nor is it reached
								s.Link(n.Label, m.Info.Name, simulation.Dropped)
							}
						default:
							m.Hung = true
							if how == "resume" {
								s.After(time.Duration(6+k%2*4)*second, func() { m.Hung = false })
							}
						}
					}
					for _, j := range gone {
						for i := range 8 {
							if m := s.Workers[j.On(i)]; m != nil {
								trouble(m)
							}
						}
						s.Users.Abort(j)
					}
					for range ends {
						s.crashLeader(second / 5)
						s.Run(s.Now + second)
						for _, j := range full { // what comes now waits for no machine to be seen
							one := simulation.Array(2)
							one.Team = j.Spec.Team
							more = append(more, s.Users.Submit(one, 5))
						}
						s.Run(s.Now + 4*second)
					}
					// The next leader, its first map, the former owner's last answers, a lease
					// and its drift.
					s.eventually(config.Seconds(s.Set.Site.Workers.LeaseS+2*s.Set.Site.Workers.ReportS), "each team starts something again", func() bool {
						started := map[string]bool{}
						for _, j := range more {
							started[j.Spec.Team] = started[j.Spec.Team] || j.Running()+s.Users.Done(j) > 0
						}
						return started["red"] && started["blue"] && started["guest"]
					})
					s.Cloud.Out = false
					s.Run(s.Now + s.cancelSpan())
					s.requireInvariants()
				})
			})
		}
	}
}

// handovers are the ways in which the work of one controller goes to others, and back.
var handovers = map[string]func(s *scenario, giver *simulation.Node){
	"ends":            func(s *scenario, n *simulation.Node) { n.Crash(30 * second) },
	"is back at once": func(s *scenario, n *simulation.Node) { n.Crash(50 * time.Millisecond) },
	"is back soon":    func(s *scenario, n *simulation.Node) { n.Crash(3 * second) },
	"stands still":    func(s *scenario, n *simulation.Node) { n.StandStill(12 * second) },
	"cut from all": func(s *scenario, n *simulation.Node) {
		s.partition(25*second, n.Label, append(s.otherEnds(n), "workers")...)
	},
	"cut from workers": func(s *scenario, n *simulation.Node) { s.partition(25*second, n.Label, "workers") },
	"refused alone":    func(s *scenario, n *simulation.Node) { s.State.Refuses[n.Label] = true },
	"ends with another": func(s *scenario, n *simulation.Node) {
		n.Crash(second)
		s.Nodes[(slices.Index(s.Nodes, n)+1)%len(s.Nodes)].Crash(2 * second)
	},
}

// One controller's machines go to others, or back, while starts are dispatched, in answers and
// in /do; jobs are cancelled through the giver, a taker and a third, in every tenth of a second
// of it: none of their tasks is left or starts too late.
func TestCancellationDuringShardHandover(t *testing.T) {
	late, starts := 0, 0
	for name, change := range handovers {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				for seed, controllers := range []int{3, 5} {
					s := startScenario(t, 3300+uint64(seed), controllers, nil)
					s.addMachines(24)
					giver := s.leader()
					if !leads {
						giver = s.follower()
					}
					change(s, giver)
					var jobs []*simulation.Job
					for k := range 60 { // each a tenth of a second after the one before
						j := s.Users.Submit(simulation.Array(2), 60)
						jobs = append(jobs, j)
						if seed == 1 && k%20 == 19 { // in a pile, with the leader's end
							s.crashLeader(second / 5)
						}
						through := s.Nodes[k%controllers]
						s.After(time.Duration(5+k%12*7)*second/10, func() {
							if through.Alive() && through.Ready {
								s.abortUnanswered(through, j) // whoever tells of it first
							}
							s.Users.Abort(j)
						})
						s.Run(s.Now + second/10)
					}
					s.eventually(s.cancelSpan()+20*second, "all are cancelled", func() bool {
						s.State.Refuses = map[string]bool{}
						return toldState(protocol.JobCancelled, jobs...)()
					})
					s.Run(s.Now + s.cancelSpan() + second)
					s.requireInvariants()
					s.recoverAndFinish(second)
					late += s.Users.LateStarts
					starts += s.Users.Starts
				}
			})
		}
	}
	if late*1000 > starts { // no rule, but one in a thousand is seen
		t.Fatalf("%d of %d starts came after a cancellation was confirmed", late, starts)
	}
}

// New machines are up within two seconds and get work at once, for teams at their limits, while
// writes lag, are late or lose their answers, and the leader ends, at any moment of it: the
// next one starts nothing twice and passes no limit.
func TestNewMachinesWithSlowStore(t *testing.T) {
	for how, lag := range map[string]func(s *scenario){
		"slow":         func(s *scenario) { s.State.Slow = 900 * time.Millisecond },
		"late":         func(s *scenario) { s.State.LateShare, s.State.LateFrom, s.State.LateBy = 0.5, 2*second, 12*second },
		"answers lost": func(s *scenario) { s.State.LateShare = 0.6 },
		"register late": func(s *scenario) {
			s.State.LateOnly, s.State.LateShare, s.State.LateFrom, s.State.LateBy = "c/rigs/", 1, 2*second, 8*second
		},
		"register lost":   func(s *scenario) { s.State.LateOnly, s.State.LateShare = "c/rigs/", 1 },
		"slow and copied": func(s *scenario) { s.State.Slow, s.Copies, s.CopyBy = 300*time.Millisecond, 0.3, 20*second },
	} {
		t.Run(how, func(t *testing.T) {
			acrossSeeds(t, 3400, 4, func(t *testing.T, k, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, func(x *config.Site) { x.Teams[1].CPUsMax = 16 })
				s.Cloud.AtOnce = true
				lag(s)
				for wave := range 4 {
					for _, team := range []string{"red", "blue"} {
						spec := simulation.Array(12 + wave*4)
						spec.Team = team
						s.Users.Submit(spec, float64(4+wave*5))
					}
					seen := s.Cloud.Hired
					s.Until(s.Now+8*second, func() bool { return s.Cloud.Hired > seen })
					s.Run(s.Now + time.Duration(k*2+wave)*second/2) // from before they are up to long after
					s.crashLeader(second / 5)
					s.Run(s.Now + 4*second)
				}
				s.recoverAndFinish(400 * second)
			})
		})
	}
}

// The same old report of each machine reaches all controllers just as a leader begins: from
// before the machine had its tasks, from an earlier session, from before it was deleted, or with
// a notice that is no longer true. Nothing runs twice, no limit is passed, and neither a machine
// that is gone nor what was said of one holds the take-over or the work up.
func TestStaleHeartbeatsAtFailover(t *testing.T) {
	for how, between := range map[string]func(s *scenario){
		"before its tasks": func(s *scenario) {},
		"earlier session": func(s *scenario) {
			for _, k := range s.SomeWorkers(4) {
				for _, n := range s.Nodes {
					s.Cut(n.Label, k.Info.Name, false)
				}
				s.After(18*second, func() {
					for _, n := range s.Nodes {
						s.Mend(n.Label, k.Info.Name)
					}
				})
			}
			s.Run(s.Now + 24*second)
		},
		"machines deleted": func(s *scenario) {
			for _, k := range s.SomeWorkers(6) {
				s.Cloud.Remove(k.Info.Name)
			}
			s.Run(s.Now + 20*second)
		},
		"machines die with the leader": func(s *scenario) {
			for _, k := range s.SomeWorkers(6) {
				s.Cloud.Remove(k.Info.Name)
			}
		},
		"while they are cut off": func(s *scenario) { // so that it is the first that anybody hears
			busy := slices.DeleteFunc(s.SomeWorkers(64), func(m *simulation.Worker) bool { return len(m.Tasks) == 0 })
			s.addMachines(12)  // with room for all that they run
			s.Cloud.Out = true // or they would be taken for dead, and deleted
			for _, m := range busy {
				for _, n := range s.Nodes {
					s.Cut(n.Label, m.Info.Name, false)
					s.After(7*second, func() { s.Mend(n.Label, m.Info.Name) })
				}
			}
		},
		"epochs ago": func(s *scenario) {
			for range 3 {
				s.follower().Crash(second / 5)
				s.Run(s.Now + 4*second)
			}
		},
	} {
		t.Run(how, func(t *testing.T) {
			acrossSeeds(t, 3500, 3, func(t *testing.T, k, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.KeepReports = true
				s.Run(s.Now + 4*second) // one of each machine is kept
				s.KeepReports = false
				spec := simulation.Array(24)
				spec.Team = "red" // all that it may use
				red, blue := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(20), 60)
				s.eventually(30*second, "all tasks run", func() bool { return red.Running() == 24 && blue.Running() == 20 })
				between(s)
				running := red.Running() + s.Users.Done(red)
				s.Logs = nil
				if k%2 == 0 {
					s.crashLeader(second / 5)
				} else {
					for _, n := range s.Nodes {
						n.Crash(second / 5)
					}
				}
				more := simulation.Array(4)
				more.Team = "red"
				s.Users.Submit(more, 10)
				s.eventually(35*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
				if lost := running - red.Running() - s.Users.Done(red); how != "machines die with the leader" && lost > 0 {
					t.Fatalf("%d tasks were lost by an old report\n%s", lost, s.lastLogs(*logLines))
				}
				s.recoverAndFinish(300 * second)
			})
		})
	}
}

// One-task jobs come four a second for minutes, a quarter of them is cancelled, with the
// smallest budget of writes, which falls, beside longer jobs and through ends of the leader:
// each is accepted, told and forgotten by nobody, and no more than a few seconds late.
func TestSmallJobFlood(t *testing.T) {
	acrossSeeds(t, 3600, 2, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, func(x *config.Site) {
			x.State = config.State{RPS: 350, WriteRPS: 35, ValueKB: 16, TxnOps: 16, Next: &config.State{WriteRPS: 8}}
		})
		s.addMachines(16)
		s.Users.CloseLooks = k%2 == 0
		s.At(s.Now+60*second, func() { s.State.Lowered = true })
		var jobs, gone []*simulation.Job
		for n := range 4 * 150 {
			j := s.Users.Submit(simulation.Array(1), float64(3+n%5*3))
			jobs = append(jobs, j)
			if n%4 == 1 {
				gone = append(gone, j)
				s.After(time.Duration(n%7)*2*second, func() { s.Users.Abort(j) })
			}
			if n%100 == 50 {
				s.Users.Submit(simulation.Array(30), 10)
			}
			if n%200 == 150 {
				s.crashLeader(second / 5)
			}
			s.Run(s.Now + second/4)
			old := jobs[max(0, n-4*12)]
			if !old.Accepted {
				t.Fatalf("%s is not accepted after 12 s\n%s", old.Spec.ID, s.lastLogs(*logLines))
			}
		}
		s.eventually(20*second, "cancellations are confirmed", func() bool {
			return !slices.ContainsFunc(gone, func(j *simulation.Job) bool { return j.Told != protocol.JobCancelled && j.Told != protocol.JobDone })
		})
		s.recoverAndFinish(120 * second)
		if s.State.Refused > 1000 { // thousands, if each submission has a write of its own
			t.Fatalf("%d requests were above the limits", s.State.Refused)
		}
	})
}

// Leaders change ten times in two minutes, also inside an outage of the service that all see,
// while jobs come, end and are cancelled.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %v", outage), func(t *testing.T) {
			acrossSeeds(t, 3700, 3, func(t *testing.T, k, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.Users.Submit(simulation.Array(12), 90)
				s.Users.CloseLooks, s.Users.AtEnd = true, 0.2
				changes := 0
				for k := range 10 {
					j := s.Users.Submit(simulation.Array(4), float64(5+k%3*20))
					s.After(9*second, func() { s.Users.Abort(j) })
					if outage && k == 4 {
						s.State.Outage(40 * second)
					}
					// Whoever leads, or would if the service answered: any of them may.
					if n := s.currentLeader(); n != nil {
						n.Crash([]time.Duration{50 * time.Millisecond, second / 5, 2 * second}[k%3])
						changes++
					}
					s.Run(s.Now + 12*second)
				}
				if changes < 5 {
					t.Fatalf("only %d leaders ended", changes)
				}
				s.recoverAndFinish(200 * second)
			})
		})
	}
}

// A cancellation, questions at all nodes and a repeated submission meet the end of a job's last
// task, at that moment and in the milliseconds around it, with no other trouble: one final word
// is told, at once, by all.
func TestRequestsAtJobCompletion(t *testing.T) {
	done, gone := 0, 0
	for seed := range uint64(12) {
		s := newScenario(t, 3800+seed)
		s.addMachines(8)
		s.Users.CloseLooks = true
		var jobs []*simulation.Job
		for k := range 20 {
			j := s.Users.Submit(simulation.Array(1+k%3), 5)
			jobs = append(jobs, j)
			if !s.Until(s.Now+40*second, func() bool { return s.Users.Done(j) == j.Spec.Tasks }) {
				t.Fatal("it does not end")
			}
			s.Run(s.Now + time.Duration(k*k)*time.Millisecond)
			s.Users.Look(j)
			s.Users.Abort(j)
			s.Users.Resubmit(j)
			s.eventually(3*second, "it is over", func() bool { return toldState(protocol.JobDone, j)() || toldState(protocol.JobCancelled, j)() })
			if j.Told == protocol.JobDone {
				done++
			} else {
				gone++
			}
		}
		s.recoverAndFinish(20 * second)
	}
	if done == 0 || gone == 0 {
		t.Fatalf("%d were done and %d cancelled: one side was not shown", done, gone)
	}
}

// Some machines can open no connection to a controller, while direct commands reach them: their
// tasks are lost with their leases and started elsewhere, cancelled ones stop, once, and
// through an end of the leader.
func TestMachinesThatCannotReachControllers(t *testing.T) {
	for _, ends := range []bool{false, true} {
		acrossSeeds(t, 3900, 3, func(t *testing.T, k, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			s.addMachines(12)
			s.Cloud.Out = k%2 == 0
			spec := simulation.Array(24)
			spec.Team = "red"
			red, gone := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(16), 200)
			s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 40 })
			for _, m := range s.SomeWorkers(7) {
				m.Mute = true
				s.After(time.Duration(20+k*20)*second, func() { m.Mute = false })
			}
			if s.Run(s.Now + time.Duration(k*5)*second); ends {
				s.crashLeader(second / 5)
			}
			s.Users.Abort(gone)
			s.Run(s.Now + s.cancelSpan() + 20*second)
			s.recoverAndFinish(300 * second)
			if red.Told != protocol.JobDone {
				t.Fatalf("the other job is %s", red.Told)
			}
		})
	}
}

// Jobs bound to one zone, by name or by their tasks, arrays and gangs, lose machines there,
// while the zone has others, or has none for a while, and the leader ends.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for _, ends := range []bool{false, true} {
		acrossSeeds(t, 4000, 3, func(t *testing.T, k, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			for range 6 {
				s.Cloud.Add("box", "a", true)
			}
			s.addMachines(6)
			var jobs []*simulation.Job
			for n := range 8 {
				spec := simulation.Array(6)
				switch n % 4 {
				case 0:
					spec.Zone = "b"
				case 1:
					spec.OneZone = true
				case 2:
					spec.Spread = true
				case 3:
					spec.OneZone, spec.Kind = true, protocol.KindGang
				}
				jobs = append(jobs, s.Users.Submit(spec, 25))
			}
			s.Run(s.Now + 10*second)
			for _, m := range s.SomeWorkers(64) {
				if m.Info.Zone == "b" && (k > 0 || s.Rand.IntN(2) == 0) {
					s.Cloud.Remove(m.Info.Name)
				}
			}
			if k == 2 {
				s.Cloud.Capacity["box b"] = 0
				s.After(40*second, func() { delete(s.Cloud.Capacity, "box b") })
			}
			if ends {
				s.crashLeader(second / 5)
			}
			s.Run(s.Now + 45*second)
			s.recoverAndFinish(400 * second)
			if !toldState(protocol.JobDone, jobs...)() {
				t.Fatal("not all are done")
			}
		})
	}
}

// Reports are held back until a new leader has acted, and arrive there then, after the machine's
// tasks were given up or kept; its own next ones follow.
func TestHeartbeatsDelayedPastFailover(t *testing.T) {
	acrossSeeds(t, 4100, 6, func(t *testing.T, k, controllers int, seed uint64) {
		s, gone := startFull(t, seed, controllers)
		held := s.SomeWorkers(9)
		for _, k := range held {
			for _, n := range s.Nodes {
				s.Link(k.Info.Name, n.Label, simulation.Held) // what it sends is kept, what it is told arrives
			}
		}
		s.Run(s.Now + second)
		s.Users.Abort(gone)
		s.crashLeader(second / 5)
		s.Users.Submit(simulation.Array(12), 10)
		s.Run(s.Now + time.Duration(2+k*6)*second) // from before it has acted to long after
		for _, k := range held {
			for _, n := range s.Nodes {
				s.Link(k.Info.Name, n.Label, simulation.Link{})
			}
		}
		s.Run(s.Now + s.cancelSpan())
		s.recoverAndFinish(300 * second)
	})
}

// There is more work than room, urgent and not, over slow links between all ends, and with a
// change of leader: urgent work goes first, and in the end all is served.
func TestOverloadOverSlowLinks(t *testing.T) {
	acrossSeeds(t, 4200, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 6, 0
		s.addMachines(6)
		for i, n := range s.Nodes {
			s.Between(n.Label, "workers", simulation.Link{Delay: time.Duration(1+i%3) * second / 2})
		}
		s.PeerLatency = 400 * time.Millisecond
		var urgent, idle []*simulation.Job
		for k := range 16 {
			spec := simulation.Array(12)
			spec.Class, spec.Urgency = "reports", protocol.UrgencyLow
			if k%2 == 0 {
				spec.Class, spec.Urgency = "alerts", protocol.UrgencyHigh
			}
			j := s.Users.Submit(spec, 8)
			if k%2 == 0 {
				urgent = append(urgent, j)
			} else {
				idle = append(idle, j)
			}
			if k%6 == 5 {
				s.Users.Abort(j)
			}
			if k == 9 {
				s.crashLeader(second)
			}
			s.Run(s.Now + 3*second)
		}
		s.eventually(32*second, "urgent work is done", toldState(protocol.JobDone, urgent...))
		s.Mend("node-0", "workers")
		s.PeerLatency = 0
		for _, n := range s.Nodes {
			s.Mend(n.Label, "workers")
		}
		s.recoverAndFinish(300 * second)
	})
}

// All controllers are away for longer than a lease, with machines that were full: what they ran
// is started again once, each team within its limit, and what was cancelled just before stays so.
func TestAllControllersDownPastWorkerLease(t *testing.T) {
	acrossSeeds(t, 4300, 4, func(t *testing.T, k, controllers int, seed uint64) {
		s, gone := startFull(t, seed, controllers)
		s.Users.Abort(gone)
		s.Until(s.Now+2*second, toldState(protocol.JobCancelled, gone))
		away := time.Duration(8+6*k) * second // up to well over the lease
		for i, n := range s.Nodes {
			n.Crash(away + time.Duration(i)*second*time.Duration(k%2*3))
		}
		for _, m := range s.SomeWorkers(8) { // which come back to them later than the others
			for _, n := range s.Nodes {
				s.Cut(n.Label, m.Info.Name, false)
				s.After(away+5*second, func() { s.Mend(n.Label, m.Info.Name) })
			}
		}
		s.Run(s.Now + s.cancelSpan() + second)
		s.recoverAndFinish(300 * second)
	})
}

// Jobs are cancelled at the very moment at which the state service refuses the leader alone, at
// each of its nodes, before it and after it, and it stays refused until the others have acted.
func TestCancellationAsStoreRefusesLeader(t *testing.T) {
	for _, offset := range []time.Duration{-20, 0, 3, 40, 400} { // milliseconds
		acrossSeeds(t, 4400, 3, func(t *testing.T, k, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			s.addMachines(12)
			var jobs []*simulation.Job
			for range controllers * 2 {
				jobs = append(jobs, s.Users.Submit(simulation.Array(4), 300))
			}
			s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == controllers*8 })
			n, at := s.leader(), s.Now+second
			s.At(at, func() { s.State.Refuses[n.Label] = true })
			s.At(at+offset*time.Millisecond, func() {
				for i, j := range jobs {
					if i%2 == 0 {
						s.abortUnanswered(s.Nodes[i/2], j)
					}
					s.Users.Abort(j)
				}
			})
			if k == 2 { // and a second later it serves nobody
				s.At(at+second, func() { s.State.Outage(s.cancelSpan() + 10*second) })
			}
			s.Run(at + s.cancelSpan() + 15*second)
			s.State.Refuses = map[string]bool{}
			s.recoverAndFinish(60 * second)
			s.Run(s.Now + s.cancelSpan() + second)
			s.requireInvariants()
		})
	}
}

// Jobs tied to zones whose zone has lost its machines and gets none go on in another one that
// has room, beside controllers that read what was written late, and through an end of the
// leader: a spread job's half in a third zone, or in the other's once that is done; a job of
// one zone once none of its tasks can be anywhere.
func TestTasksMoveToZoneWithCapacity(t *testing.T) {
	for name, change := range map[string]func(*protocol.Job){
		"spread":            func(x *protocol.Job) { x.Spread = true },
		"spread service":    func(x *protocol.Job) { x.Spread, x.Kind, x.EstimateS = true, protocol.KindService, 0 },
		"one zone":          func(x *protocol.Job) { x.OneZone = true },
		"gang of one zone":  func(x *protocol.Job) { x.OneZone, x.Kind = true, protocol.KindGang },
		"spread, two zones": func(x *protocol.Job) { x.Spread, x.MachineTypes = true, []string{"cask"} },
	} {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 4500, 6, func(t *testing.T, k, controllers int, seed uint64) {
				types := simulation.Types()
				types[0].Zones = []string{"a", "b", "c"}
				types = append(types, types[0])
				types[2].Name, types[2].Zones = "cask", []string{"a", "b"}
				s := &scenario{World: simulation.Build(seed, simulation.Settings(controllers), types), t: t}
				s.Run(3 * second)
				for _, z := range []string{"a", "b", "c"} {
					for _, typ := range []string{"box", "cask", "box"} {
						if typ == "box" || z != "c" {
							s.Cloud.Add(typ, z, true)
						}
					}
				}
				s.Run(s.Now + 5*second)
				spec := simulation.Array(7)
				change(&spec)
				j := s.Users.Submit(spec, 20)
				s.eventually(30*second, "some tasks run", func() bool { return j.Running() > 2 })
				if k%3 == 1 { // somebody reads the state service late
					s.Link("state", s.Nodes[k%controllers].Label, simulation.Link{Delay: 2 * second})
				}
				at := slices.IndexFunc([]int{0, 1, 2, 3, 4, 5, 6}, func(i int) bool { return s.Workers[j.On((i+k)%7)] != nil })
				lost := s.Workers[j.On((at+k)%7)].Info.Zone
				for _, m := range s.SomeWorkers(64) {
					if m.Info.Zone == lost {
						s.Cloud.Remove(m.Info.Name)
					}
				}
				for _, typ := range []string{"box", "cask", "barn"} {
					s.Cloud.Capacity[typ+" "+lost] = 0
				}
				if k%3 == 2 {
					s.After(18*second, func() { s.crashLeader(second / 5) })
				}
				s.eventually(100*second, "all its tasks have started", func() bool {
					return j.Running()+s.Users.Done(j) == 7
				})
				s.Users.Calm = s.Now
				if spec.Kind == protocol.KindService {
					s.Run(s.Now + 60*second)
					s.Users.Abort(j)
				}
				s.eventually(150*second, "it is over", s.Users.AllTold)
			})
		})
	}
}

// A job of one zone that is full stays there as long as a task of it may be there, however much
// room another zone has.
func TestSingleZoneJobStaysTogether(t *testing.T) {
	acrossSeeds(t, 4550, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for _, z := range []string{"a", "a", "b", "b"} {
			s.Cloud.Add("box", z, true)
		}
		s.Run(s.Now + 4*second)
		spec := simulation.Array(14)
		spec.OneZone = true
		j := s.Users.Submit(spec, 50)
		s.eventually(30*second, "its zone is full", func() bool { return j.Running() == 8 })
		if s.Run(s.Now + 10*second); k == 1 {
			s.crashLeader(second / 5)
		}
		s.Users.Calm = s.Now
		s.eventually(200*second, "it is done", s.Users.AllTold)
	})
}

// The move of a job of one zone to another is carried out late, when its own zone has had
// machines again and its tasks run there, and more wait: those stay with them.
func TestLateZoneMoveOfSingleZoneJob(t *testing.T) {
	acrossSeeds(t, 4580, 6, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		first := s.Cloud.Add("box", "a", true)
		s.Run(s.Now + 4*second)
		spec := simulation.Array(12)
		spec.OneZone = true
		j := s.Users.Submit(spec, 40)
		s.eventually(30*second, "its tasks run", func() bool { return j.Running() == 4 })
		s.Cloud.Remove(first)
		s.Cloud.Add("box", "b", true)
		s.State.LateOnly, s.State.LateShare, s.State.LateFrom, s.State.LateBy = "c/job/", 1, 6*second, time.Duration(8+k)*second
		s.eventually(90*second, "it is to move", func() bool { return s.logged("move to another zone") })
		s.Cloud.Add("box", "a", true)
		s.Run(s.Now + 5*second)
		s.State.LateShare = 0
		if k%2 == 1 { // and the leader reads everything anew
			s.State.Forgot[s.leader().Label] = true
		}
		s.Run(s.Now + 20*second)
		s.recoverAndFinish(400 * second)
	})
}

// An urgent job of one zone that is full stops nothing in another zone, where it could not run,
// and keeps no machine there from others.
func TestNoPreemptionInUnusableZone(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4600+seed)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for _, z := range []string{"a", "a", "b"} {
			s.Cloud.Add("box", z, true)
		}
		s.Run(s.Now + 4*second)
		urgent := simulation.Array(12)
		urgent.Class, urgent.Urgency, urgent.OneZone, urgent.CPUs = "alerts", protocol.UrgencyHigh, true, 4
		first := s.Users.Submit(urgent, 40)
		s.eventually(30*second, "it has its zone", func() bool { return first.Running() == 2 })
		var small []*simulation.Job
		for range 8 {
			spec := simulation.Array(1)
			spec.Urgency = protocol.UrgencyLow
			small = append(small, s.Users.Submit(spec, 6))
		}
		s.eventually(40*second, "the other zone serves the rest", toldState(protocol.JobDone, small...))
		if s.logged("stopping tasks") {
			t.Fatalf("tasks were stopped in vain\n%s", s.lastLogs(*logLines))
		}
	}
}

// A machine dies, and copies of its reports go on arriving: they neither keep its tasks from
// being started elsewhere after its lease, nor count as hearing it.
func TestDuplicatedHeartbeatsDoNotKeepDeadMachine(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4700+seed)
		s.addMachines(8)
		s.Copies, s.CopyBy = 1, 60*second
		j := s.Users.Submit(simulation.Array(16), 300)
		s.Run(s.Now + 60*second)
		s.Cloud.Out = true // or it would be deleted, which settles it
		s.Cloud.Remove(s.Workers[j.On(0)].Info.Name)
		s.Copies = 0
		s.eventually(config.Seconds(s.Set.Site.Workers.LeaseS+2*s.Set.Site.Workers.ReportS), "its tasks are known to be lost", func() bool {
			return s.logged("machine lease expired, its tasks are lost")
		})
	}
}

// A job is accepted at one node and comes again, changed so that it could not run, at all
// nodes, of which one reads late: each answers by the job's state.
func TestAcceptedJobIsNotRejectedByStaleMirror(t *testing.T) {
	for seed := range uint64(3) {
		s := newScenario(t, 4800+seed)
		slow := s.follower()
		s.Link("state", slow.Label, simulation.Link{Delay: 6 * second / 10})
		s.Run(s.Now + 5*second)
		s.Users.Only = s.leader()
		j := s.Users.Submit(simulation.Array(2), 15)
		s.eventually(10*second, "it is accepted", func() bool { return j.Accepted })
		s.Users.Only = nil
		again, answers := j.Spec, map[string]core.ReplyStatus{}
		again.CPUs = 4096
		for _, n := range s.Nodes {
			n.Ask(func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: again} }, func(r core.Reply) { answers[n.Label] = r.Status })
		}
		s.Run(s.Now + 5*second)
		for _, n := range s.Nodes {
			if got := answers[n.Label]; got != 200 && (got != 503 || n != slow) {
				t.Fatalf("%s answers %d", n.Label, got)
			}
		}
		s.Link("state", slow.Label, simulation.Link{})
		s.eventually(60*second, "it is done", s.Users.AllTold)
	}
}

// A job that has failed on the only machines with room does not hold that room up, round after
// round, while its part puts none of it there.
func TestFailedJobDoesNotBlockCapacity(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4900+seed)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		s.addMachines(2)
		bad := simulation.Array(8)
		bad.Urgency = protocol.UrgencyHigh
		s.Users.Submit(bad, 5).Mistaken = true
		s.Run(s.Now + 6*second)
		j := s.Users.Submit(simulation.Array(4), 5)
		s.eventually(25*second, "the other job is done", toldState(protocol.JobDone, j))
	}
}
