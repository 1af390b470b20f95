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

// quotaTeams are the teams of startAtQuota, each with a quota of sixteen CPUs.
var quotaTeams = []string{"red", "blue", "guest"}

// startAtQuota starts a scenario in which two long jobs of each team use all of its quota and another
// job of each team waits. Of the 24 machines, the running jobs fill half, and the others are free.
func startAtQuota(t *testing.T, seed uint64, controllers int) (s *scenario, running, waiting []*simulation.Job) {
	s = startScenario(t, seed, controllers, func(site *config.Site) {
		site.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 8, CPUsMax: 16}, {Name: "guest", CPUs: 4, CPUsMax: 16}}
	})
	s.addMachines(24) // half of the machines stay free
	for _, team := range quotaTeams {
		spec := simulation.Array(8)
		spec.Team = team
		running = append(running, s.Users.Submit(spec, 500), s.Users.Submit(spec, 500))
	}
	s.eventually(60*second, "all teams use their quotas", func() bool { return s.Users.RunningTasks() == 48 })
	for _, team := range quotaTeams {
		spec := simulation.Array(8)
		spec.Team = team
		waiting = append(waiting, s.Users.Submit(spec, 20))
	}
	s.Run(s.Now + 3*second)
	return s, running, waiting
}

// machineFailures are the ways in which machines fail while their tasks use a team's quota.
var machineFailures = map[string]func(s *scenario, machine *simulation.Worker, variant int){
	"partitioned": func(s *scenario, machine *simulation.Worker, variant int) {
		for _, node := range s.Nodes {
			s.Partition(node.Label, machine.Info.Name, variant%2 == 0)
		}
	},
	"partitioned, while the machine opens no connections": func(s *scenario, machine *simulation.Worker, _ int) {
		machine.OutboundBlocked = true
		for _, node := range s.Nodes {
			s.SetLink(node.Label, machine.Info.Name, simulation.Dropped)
		}
	},
	"hangs": func(_ *scenario, machine *simulation.Worker, _ int) { machine.Hung = true },
	"hangs and resumes within its lease": func(s *scenario, machine *simulation.Worker, variant int) {
		machine.Hung = true
		s.After(time.Duration(6+variant%2*4)*second, func() { machine.Hung = false })
	},
}

// Every team is at its quota. One job of each team is cancelled while its machines fail, and then the
// leader crashes once, or three times. No quota may be exceeded, and each team must use the freed part of
// its quota again within a lease and two heartbeats after the last crash.
func TestQuotasHoldDuringFailovers(t *testing.T) {
	for name, fail := range machineFailures {
		for _, crashes := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d crashes", name, crashes), func(t *testing.T) {
				acrossSeeds(t, 3200, 2, func(t *testing.T, variant, controllers int, seed uint64) {
					s, running, waiting := startAtQuota(t, seed, controllers)
					s.Cloud.Down = true // otherwise the machines would be deleted, which frees the quota at once
					for _, job := range []*simulation.Job{running[0], running[2], running[4]} {
						for i := range 8 {
							if machine := s.Workers[job.MachineOf(i)]; machine != nil {
								fail(s, machine, variant)
							}
						}
						s.Users.Cancel(job)
					}
					for range crashes {
						waiting = append(waiting, s.crashLeaderAndSubmit(running)...)
					}
					s.requireStarts(waiting)
					s.Cloud.Down = false
					s.Run(s.Now + s.cancelTimeout())
					s.requireInvariants()
				})
			})
		}
	}
}

// crashLeaderAndSubmit crashes the leader and, 1 s later, submits a job for the team of each running job.
// These jobs are newer than the next leader's election. The next leader therefore starts their tasks
// without waiting until every machine has been seen.
func (s *scenario) crashLeaderAndSubmit(running []*simulation.Job) (submitted []*simulation.Job) {
	s.crashLeader(second / 5)
	s.Run(s.Now + second)
	for _, job := range running {
		spec := simulation.Array(2)
		spec.Team = job.Spec.Team
		submitted = append(submitted, s.Users.Submit(spec, 5))
	}
	s.Run(s.Now + 4*second)
	return submitted
}

// requireStarts fails the test unless each team starts a task of the given jobs within a lease and two
// heartbeats. That is the time for the next leader's first shard map, the last responses of the machines'
// former owner, a lease, and the drift of the clocks.
func (s *scenario) requireStarts(jobs []*simulation.Job) {
	s.t.Helper()
	workers := s.Settings.Site.Workers
	s.eventually(config.Seconds(workers.LeaseS+2*workers.HeartbeatS), "each team starts a task again", func() bool {
		started := map[string]bool{}
		for _, job := range jobs {
			started[job.Spec.Team] = started[job.Spec.Team] || job.RunningTasks()+s.Users.CompletedTasks(job) > 0
		}
		return !slices.ContainsFunc(quotaTeams, func(team string) bool { return !started[team] })
	})
}

// handovers are the ways in which the shard of one controller is handed over to others, and back.
var handovers = map[string]func(s *scenario, owner *simulation.Node){
	"crashes":                          func(s *scenario, owner *simulation.Node) { owner.Crash(30 * second) },
	"crashes and restarts after 50 ms": func(s *scenario, owner *simulation.Node) { owner.Crash(50 * time.Millisecond) },
	"crashes and restarts after 3 s":   func(s *scenario, owner *simulation.Node) { owner.Crash(3 * second) },
	"is paused":                        func(s *scenario, owner *simulation.Node) { owner.Pause(12 * second) },
	"isolated": func(s *scenario, owner *simulation.Node) {
		s.partition(25*second, owner.Label, append(s.otherEndpoints(owner), "workers")...)
	},
	"partitioned from workers":     func(s *scenario, owner *simulation.Node) { s.partition(25*second, owner.Label, "workers") },
	"refused by the state service": func(s *scenario, owner *simulation.Node) { s.Store.RefusedNodes[owner.Label] = true },
	"crashes with another": func(s *scenario, owner *simulation.Node) {
		owner.Crash(second)
		s.Nodes[(slices.Index(s.Nodes, owner)+1)%len(s.Nodes)].Crash(2 * second)
	},
}

// The machines of one controller are handed over to others, or back, while starts are dispatched in
// responses to heartbeats and in direct calls. Meanwhile a job is submitted each tenth of a second and
// cancelled later, through the former owner, a new one or a third controller. No task of these jobs may
// run later than cancel_s after the cancellation, and at most one in a thousand starts may come after its
// confirmation.
func TestCancellationHoldsDuringShardHandover(t *testing.T) {
	lateStarts, starts := 0, 0
	for name, handOver := range handovers {
		for _, ownerLeads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", name, ownerLeads), func(t *testing.T) {
				for variant, controllers := range []int{3, 5} {
					s := startScenario(t, 3300+uint64(variant), controllers, nil)
					s.addMachines(24)
					owner := s.leader()
					if !ownerLeads {
						owner = s.follower()
					}
					handOver(s, owner)
					jobs := s.submitAndCancel(60, variant == 1)
					s.eventually(s.cancelTimeout()+20*second, "all jobs are cancelled", func() bool {
						s.Store.RefusedNodes = map[string]bool{}
						return lastStateIs(protocol.JobCancelled, jobs...)()
					})
					s.Run(s.Now + s.cancelTimeout() + second)
					s.requireInvariants()
					s.recoverAndFinish(second)
					lateStarts += s.Users.StartsAfterCancel
					starts += s.Users.Starts
				}
			})
		}
	}
	// A start may arrive at a machine after the cancellation was confirmed, which violates no
	// invariant, but happens only rarely.
	if lateStarts*1000 > starts {
		t.Fatalf("%d of %d starts came after a cancellation was confirmed, more than one in a thousand", lateStarts, starts)
	}
}

// submitAndCancel submits a job every tenth of a second and cancels each 0.5 to 8.2 s later, through one
// controller after another. With crashes set, the leader crashes at every twentieth job.
func (s *scenario) submitAndCancel(count int, crashes bool) (jobs []*simulation.Job) {
	for k := range count {
		job := s.Users.Submit(simulation.Array(2), 60)
		jobs = append(jobs, job)
		if crashes && k%20 == 19 {
			s.crashLeader(second / 5)
		}
		through := s.Nodes[k%len(s.Nodes)]
		s.After(time.Duration(5+k%12*7)*second/10, func() {
			if through.Alive() && through.Ready {
				s.cancelIgnoringReply(through, job) // in addition to Cancel, whichever is confirmed first
			}
			s.Users.Cancel(job)
		})
		s.Run(s.Now + second/10)
	}
	return jobs
}

// The leader crashes up to ten times in two minutes, in half of the runs also during an outage of the
// state service that affects all controllers, while jobs are submitted, end and are cancelled. No
// invariant may be violated, and every job must become final after the last crash.
func TestWorkCompletesThroughTenFailoversInTwoMinutes(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %v", outage), func(t *testing.T) {
			acrossSeeds(t, 3700, 3, func(t *testing.T, _, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.Users.Submit(simulation.Array(12), 90)
				s.Users.CheckReadYourWrites, s.Users.CancelAtEndShare = true, 0.2
				crashes := 0
				for k := range 10 {
					job := s.Users.Submit(simulation.Array(4), float64(5+k%3*20))
					s.After(9*second, func() { s.Users.Cancel(job) })
					if outage && k == 4 {
						s.Store.Outage(40 * second)
					}
					// During the outage the leader may be one that cannot reach the state service.
					if leader := s.currentLeader(); leader != nil {
						leader.Crash([]time.Duration{50 * time.Millisecond, second / 5, 2 * second}[k%3])
						crashes++
					}
					s.Run(s.Now + 12*second)
				}
				if crashes < 5 {
					t.Fatalf("leaders crashed only %d times, want at least 5", crashes)
				}
				s.recoverAndFinish(200 * second)
			})
		})
	}
}

// All controllers are down for 8 to 26 s, up to well over a worker's lease, while all machines are full.
// The tasks that are lost must be started again only once, and each team must stay within its quota. A
// job that was cancelled just before must stay cancelled.
func TestWorkCompletesAfterAllControllersWereDown(t *testing.T) {
	acrossSeeds(t, 4300, 4, func(t *testing.T, variant, controllers int, seed uint64) {
		s, toCancel := startFullCluster(t, seed, controllers)
		s.Users.Cancel(toCancel)
		s.RunUntil(s.Now+2*second, lastStateIs(protocol.JobCancelled, toCancel))
		down := time.Duration(8+6*variant) * second // 8 to 26 s, while the lease is 16 s
		for i, node := range s.Nodes {
			node.Crash(down + time.Duration(i)*second*time.Duration(variant%2*3))
		}
		for _, machine := range s.RandomWorkers(8) { // these are unreachable until 5 s later than the others
			for _, node := range s.Nodes {
				s.Partition(node.Label, machine.Info.Name, false)
				s.After(down+5*second, func() { s.Heal(node.Label, machine.Info.Name) })
			}
		}
		s.Run(s.Now + s.cancelTimeout() + second)
		s.recoverAndFinish(300 * second)
	})
}
