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

// keyPrefixes has the prefix of the keys that each kind of write changes. The empty prefix matches all
// writes. docs/fault-interleavings.md has the same table.
var keyPrefixes = []string{"c/node/", "c/leader", "c/map", "c/rigs/", "c/job/", "c/run/", "c/accepted/", "c/admitted/",
	"c/prog/", "c/long/", "c/est", "c/types", ""}

// All transactions of one kind, or 70 % of all transactions, are applied at once but their responses are
// lost. In the other half of the subtests, 60 % of these transactions are applied late and get no
// response. Other controllers act on such a write when they read it, and its writer finds it when it
// tries again. Every job that its user does not cancel must still be done.
func TestJobsCompleteDespiteLostOrLateCommitResponses(t *testing.T) {
	for _, key := range keyPrefixes {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s late %v", key, late), func(t *testing.T) {
				t.Parallel()
				affected := 0
				for seed := range uint64(2) {
					affected += simulateLostResponses(t, 3100+seed, key, late)
				}
				if affected == 0 && key != "c/types" { // machine types are written only once, and perhaps this write is not affected
					t.Fatal("no response was lost or late, so the test checked nothing")
				}
			})
		}
	}
}

// simulateLostResponses runs a scenario of jobs, cancellations, failovers and shard handovers in which
// transactions that change a key with the prefix key get no response: all of them, or 70 % if key is
// empty. If late is set, 60 % of them get no response and are applied 2 to 12 s late. It returns how many
// transactions were affected.
func simulateLostResponses(t *testing.T, seed uint64, key string, late bool) int {
	s := &scenario{Cluster: simulation.NewWithSettings(seed, simulation.Settings(3), simulation.MachineTypes()), t: t}
	s.Store.DelayedCommitPrefix, s.Store.DelayedCommitShare = key, 1
	if key == "" {
		s.Store.DelayedCommitShare = 0.7
	}
	if late {
		s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 0.6, 2*second, 12*second
	}
	s.Users.CheckReadYourWrites = true
	s.Run(s.Now + 15*second)
	s.addMachines(8)
	head := s.Users.Submit(simulation.Array(1), 80) // other jobs depend on it
	uncancelled := []*simulation.Job{head}
	for k := range 18 {
		job := s.Users.Submit(lostResponsesSpec(k, head), float64(2+k%4*4))
		if k%6 == 2 {
			s.submitMany(48, head)
		}
		if k%4 == 1 {
			s.After(4*second, func() { s.Users.Cancel(job) })
		} else {
			uncancelled = append(uncancelled, job)
		}
		if k == 6 || k == 14 {
			s.crashLeader(second / 5)
		}
		if k%3 == 1 { // changes the shard map and then changes it back
			s.Nodes[k%len(s.Nodes)].Crash(2 * second)
		}
		s.Run(s.Now + 3*second)
	}
	s.eventually(400*second, "all jobs are final although responses are still lost", s.Users.AllFinal)
	if !lastStateIs(protocol.JobDone, uncancelled...)() {
		t.Fatal("a job that no user cancelled is final but not done")
	}
	s.recoverAndFinish(second)
	return s.Store.DelayedCommits
}

// lostResponsesSpec returns the description of the k-th job. Some jobs depend on head, and some have a
// description that is stored as a chunked record.
func lostResponsesSpec(k int, head *simulation.Job) protocol.Job {
	spec := simulation.Array(1 + k%3*12)
	spec.Team = []string{"blue", "red"}[k%2]
	if k%5 == 4 && head.Accepted {
		spec.Dependencies = []string{head.Spec.ID}
	}
	if k%7 == 0 {
		spec = withManyTypes(spec)
	}
	return spec
}

// submitMany submits count jobs of one task at the same time. If they are too many for one write per job,
// controllers accept them in admission batches. Every second job depends on head, if head has been
// accepted.
func (s *scenario) submitMany(count int, head *simulation.Job) {
	for n := range count {
		spec := simulation.Array(1)
		if n%2 == 0 && head.Accepted {
			spec.Dependencies = []string{head.Spec.ID}
		}
		s.Users.Submit(spec, 2)
	}
}

// withManyTypes makes a job's description larger than the maximum size of a stored value.
func withManyTypes(spec protocol.Job) protocol.Job {
	for n := range 2500 {
		spec.MachineTypes = append(spec.MachineTypes, fmt.Sprintf("type-%06d", n))
	}
	spec.MachineTypes = append(spec.MachineTypes, "box")
	return spec
}

// slowStores are the ways in which writes are slow, are applied late, or get no response.
var slowStores = map[string]func(s *scenario){
	"slow": func(s *scenario) { s.Store.ResponseDelay = 900 * time.Millisecond },
	"late": func(s *scenario) {
		s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 0.5, 2*second, 12*second
	},
	"responses lost": func(s *scenario) { s.Store.DelayedCommitShare = 0.6 },
	"machine registry late": func(s *scenario) {
		s.Store.DelayedCommitPrefix, s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = "c/rigs/", 1, 2*second, 8*second
	},
	"machine registry responses lost": func(s *scenario) { s.Store.DelayedCommitPrefix, s.Store.DelayedCommitShare = "c/rigs/", 1 },
	"slow, with duplicated requests": func(s *scenario) {
		s.Store.ResponseDelay, s.DuplicateShare, s.MaxDuplicateDelay = 300*time.Millisecond, 0.3, 20*second
	},
}

// New machines boot within two seconds and get tasks of teams at their quotas at once. Meanwhile writes
// are slow, are applied late, or get no response, and the leader crashes before, while or after the
// machines boot. The next leader must start no task twice and exceed no quota.
func TestNewMachinesWithSlowStoreKeepInvariants(t *testing.T) {
	for name, slowDown := range slowStores {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 3400, 4, func(t *testing.T, variant, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, func(site *config.Site) { site.Teams[1].CPUsMax = 16 })
				s.Cloud.InstantBoot = true
				slowDown(s)
				for wave := range 4 {
					for _, team := range []string{"red", "blue"} {
						spec := simulation.Array(12 + wave*4)
						spec.Team = team
						s.Users.Submit(spec, float64(4+wave*5))
					}
					before := s.Cloud.Created
					s.RunUntil(s.Now+8*second, func() bool { return s.Cloud.Created > before })
					s.Run(s.Now + time.Duration(variant*2+wave)*second/2) // from before the machines have booted to long after
					s.crashLeader(second / 5)
					s.Run(s.Now + 4*second)
				}
				s.recoverAndFinish(400 * second)
			})
		})
	}
}

// For 150 s, four jobs of one task are submitted each second, and a quarter of them is cancelled. The
// state service has its smallest rate limit for writes, which is lowered meanwhile, other jobs have more
// tasks, and the leader crashes. Each small job must be accepted within 12 s, and its user must be sent
// its final state.
func TestSmallJobFloodIsAcceptedInTime(t *testing.T) {
	acrossSeeds(t, 3600, 2, func(t *testing.T, variant, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, func(site *config.Site) {
			site.Store = config.StoreLimits{RPS: 350, WriteRPS: 35, ValueKB: 16, MaxTxnOps: 16, Next: &config.StoreLimits{WriteRPS: 8}}
		})
		s.addMachines(16)
		s.Users.CheckReadYourWrites = variant%2 == 0
		s.At(s.Now+60*second, func() { s.Store.LimitsLowered = true })
		var jobs, cancelled []*simulation.Job
		for n := range 4 * 150 {
			job := s.Users.Submit(simulation.Array(1), float64(3+n%5*3))
			jobs = append(jobs, job)
			if n%4 == 1 {
				cancelled = append(cancelled, job)
				s.After(time.Duration(n%7)*2*second, func() { s.Users.Cancel(job) })
			}
			if n%100 == 50 {
				s.Users.Submit(simulation.Array(30), 10)
			}
			if n%200 == 150 {
				s.crashLeader(second / 5)
			}
			s.Run(s.Now + second/4)
			if old := jobs[max(0, n-4*12)]; !old.Accepted {
				t.Fatalf("%s was not accepted within 12 s\n%s", old.Spec.ID, s.lastLogs(*logLines))
			}
		}
		s.eventually(20*second, "all cancelled jobs are final", func() bool {
			return !slices.ContainsFunc(cancelled, func(job *simulation.Job) bool {
				return job.LastState != protocol.JobCancelled && job.LastState != protocol.JobDone
			})
		})
		s.recoverAndFinish(120 * second)
		if s.Store.Throttled > 1000 { // thousands of requests would exceed the limits if each submission had a write of its own
			t.Fatalf("%d requests exceeded the rate limits of the state service, want 1000 at the most", s.Store.Throttled)
		}
	})
}

// Jobs are cancelled at each node, just before, when and just after the state service begins to refuse
// only the leader's requests. It refuses them until 15 s after cancel_s has passed.
func TestCancellationHoldsAsStoreRefusesLeader(t *testing.T) {
	for _, offset := range []time.Duration{-20, 0, 3, 40, 400} { // milliseconds
		acrossSeeds(t, 4400, 3, func(t *testing.T, variant, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			s.addMachines(12)
			var jobs []*simulation.Job
			for range controllers * 2 {
				jobs = append(jobs, s.Users.Submit(simulation.Array(4), 300))
			}
			s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == controllers*8 })
			leader, at := s.leader(), s.Now+second
			s.At(at, func() { s.Store.RefusedNodes[leader.Label] = true })
			s.At(at+offset*time.Millisecond, func() {
				for i, job := range jobs {
					if i%2 == 0 {
						s.cancelIgnoringReply(s.Nodes[i/2], job)
					}
					s.Users.Cancel(job)
				}
			})
			if variant == 2 { // a second later the state service serves no controller
				s.At(at+second, func() { s.Store.Outage(s.cancelTimeout() + 10*second) })
			}
			s.Run(at + s.cancelTimeout() + 15*second)
			s.Store.RefusedNodes = map[string]bool{}
			s.recoverAndFinish(60 * second)
			s.Run(s.Now + s.cancelTimeout() + second)
			s.requireInvariants()
		})
	}
}
