package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

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
