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

// startAtQuota has every team at its quota with two long jobs, machines full of their tasks, as
// many free, and more jobs waiting.
func startAtQuota(t *testing.T, seed uint64, controllers int) (s *scenario, running, waiting []*simulation.Job) {
	s = startScenario(t, seed, controllers, func(site *config.Site) {
		site.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 8, CPUsMax: 16}, {Name: "guest", CPUs: 4, CPUsMax: 16}}
	})
	s.addMachines(24) // of which half stay free
	for _, team := range quotaTeams {
		spec := simulation.Array(8)
		spec.Team = team
		running = append(running, s.Users.Submit(spec, 500), s.Users.Submit(spec, 500))
	}
	s.eventually(60*second, "all quotas are reached", func() bool { return s.Users.RunningTasks() == 48 })
	for _, team := range quotaTeams {
		spec := simulation.Array(8)
		spec.Team = team
		waiting = append(waiting, s.Users.Submit(spec, 20))
	}
	s.Run(s.Now + 3*second)
	return s, running, waiting
}

// machineFailures are the ways in which machines fail while they hold a quota.
var machineFailures = map[string]func(s *scenario, machine *simulation.Worker, variant int){
	"partitioned": func(s *scenario, machine *simulation.Worker, variant int) {
		for _, node := range s.Nodes {
			s.Partition(node.Label, machine.Info.Name, variant%2 == 0)
		}
	},
	"neither reaches nor is reached": func(s *scenario, machine *simulation.Worker, _ int) {
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

// Every team is at its quota and jobs are cancelled whose machines fail, while the leader
// crashes once, or three times: no quota is exceeded, and what was freed is used again within a
// lease and two heartbeats of the last crash.
func TestQuotasHoldDuringFailovers(t *testing.T) {
	for name, fail := range machineFailures {
		for _, crashes := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d crashes", name, crashes), func(t *testing.T) {
				acrossSeeds(t, 3200, 2, func(t *testing.T, variant, controllers int, seed uint64) {
					s, running, waiting := startAtQuota(t, seed, controllers)
					s.Cloud.Down = true // or the machines would be deleted, which frees them at once
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

// crashLeaderAndSubmit crashes the leader and submits a job for the team of each of the running
// ones, which waits for no machine to be seen.
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

// requireStarts fails the test unless each team starts one of the jobs in the time that the next
// leader needs for its first shard map, the former owner's last answers, a lease and its drift.
func (s *scenario) requireStarts(jobs []*simulation.Job) {
	s.t.Helper()
	workers := s.Settings.Site.Workers
	s.eventually(config.Seconds(workers.LeaseS+2*workers.HeartbeatS), "each team starts something again", func() bool {
		started := map[string]bool{}
		for _, job := range jobs {
			started[job.Spec.Team] = started[job.Spec.Team] || job.RunningTasks()+s.Users.CompletedTasks(job) > 0
		}
		return !slices.ContainsFunc(quotaTeams, func(team string) bool { return !started[team] })
	})
}

// handovers are the ways in which the shard of one controller goes to others, and back.
var handovers = map[string]func(s *scenario, owner *simulation.Node){
	"crashes":               func(s *scenario, owner *simulation.Node) { owner.Crash(30 * second) },
	"crashes, back at once": func(s *scenario, owner *simulation.Node) { owner.Crash(50 * time.Millisecond) },
	"crashes, back soon":    func(s *scenario, owner *simulation.Node) { owner.Crash(3 * second) },
	"is paused":             func(s *scenario, owner *simulation.Node) { owner.Pause(12 * second) },
	"isolated": func(s *scenario, owner *simulation.Node) {
		s.partition(25*second, owner.Label, append(s.otherEndpoints(owner), "workers")...)
	},
	"partitioned from workers": func(s *scenario, owner *simulation.Node) { s.partition(25*second, owner.Label, "workers") },
	"refused by the store":     func(s *scenario, owner *simulation.Node) { s.Store.RefusedNodes[owner.Label] = true },
	"crashes with another": func(s *scenario, owner *simulation.Node) {
		owner.Crash(second)
		s.Nodes[(slices.Index(s.Nodes, owner)+1)%len(s.Nodes)].Crash(2 * second)
	},
}

// One controller's machines go to others, or back, while starts are dispatched, in answers to
// heartbeats and in direct calls; jobs are cancelled through the former owner, a new one and a
// third, in every tenth of a second of it: none of their tasks is left or starts too late.
func TestCancellationDuringShardHandover(t *testing.T) {
	late, starts := 0, 0
	for name, handOver := range handovers {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leader %v", name, leads), func(t *testing.T) {
				for variant, controllers := range []int{3, 5} {
					s := startScenario(t, 3300+uint64(variant), controllers, nil)
					s.addMachines(24)
					owner := s.leader()
					if !leads {
						owner = s.follower()
					}
					handOver(s, owner)
					jobs := s.submitAndCancel(60, variant == 1)
					s.eventually(s.cancelTimeout()+20*second, "all are cancelled", func() bool {
						s.Store.RefusedNodes = map[string]bool{}
						return lastStateIs(protocol.JobCancelled, jobs...)()
					})
					s.Run(s.Now + s.cancelTimeout() + second)
					s.requireInvariants()
					s.recoverAndFinish(second)
					late += s.Users.StartsAfterCancel
					starts += s.Users.Starts
				}
			})
		}
	}
	if late*1000 > starts { // no invariant, but one in a thousand is seen
		t.Fatalf("%d of %d starts came after a cancellation was confirmed", late, starts)
	}
}

// submitAndCancel submits a job every tenth of a second and has each cancelled a while later,
// through one controller after another, perhaps with crashes of the leader.
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
				s.cancelIgnoringReply(through, job) // whoever tells of it first
			}
			s.Users.Cancel(job)
		})
		s.Run(s.Now + second/10)
	}
	return jobs
}

// Leaders change ten times in two minutes, also during an outage of the state service that all
// see, while jobs come, end and are cancelled.
func TestTenFailoversInTwoMinutes(t *testing.T) {
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
					// Whoever leads, or would if the state service answered: any of them may.
					if leader := s.currentLeader(); leader != nil {
						leader.Crash([]time.Duration{50 * time.Millisecond, second / 5, 2 * second}[k%3])
						crashes++
					}
					s.Run(s.Now + 12*second)
				}
				if crashes < 5 {
					t.Fatalf("only %d leaders crashed", crashes)
				}
				s.recoverAndFinish(200 * second)
			})
		})
	}
}

// All controllers are down for longer than a worker's lease, with machines that were full: what
// they ran is started again once, each team within its quota, and what was cancelled just before
// stays so.
func TestAllControllersDownPastWorkerLease(t *testing.T) {
	acrossSeeds(t, 4300, 4, func(t *testing.T, variant, controllers int, seed uint64) {
		s, toCancel := startFullCluster(t, seed, controllers)
		s.Users.Cancel(toCancel)
		s.RunUntil(s.Now+2*second, lastStateIs(protocol.JobCancelled, toCancel))
		down := time.Duration(8+6*variant) * second // up to well over the lease
		for i, node := range s.Nodes {
			node.Crash(down + time.Duration(i)*second*time.Duration(variant%2*3))
		}
		for _, machine := range s.RandomWorkers(8) { // which come back to them later than the others
			for _, node := range s.Nodes {
				s.Partition(node.Label, machine.Info.Name, false)
				s.After(down+5*second, func() { s.Heal(node.Label, machine.Info.Name) })
			}
		}
		s.Run(s.Now + s.cancelTimeout() + second)
		s.recoverAndFinish(300 * second)
	})
}
