package core

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Status is what a node tells its operators about itself. The JSON names are a public interface.
type Status struct {
	Label            string                    `json:"label"`
	Epoch            uint64                    `json:"epoch"`
	Leader           string                    `json:"leader"`
	Members          []string                  `json:"members"`
	MayServe         bool                      `json:"entitled"`
	Revision         uint64                    `json:"revision"`
	Jobs             map[string]int            `json:"jobs"`
	DependentJobs    int                       `json:"jobs_waiting_for_jobs,omitempty"`
	Machines         map[string]MachineStatus  `json:"machines"`
	Queue            []QueuedJobStatus         `json:"queue,omitempty"`
	TeamCPUs         map[string]float64        `json:"team_cpus,omitempty"`
	DesiredCPUs      float64                   `json:"desired_cpus,omitempty"`
	Estimates        map[string]float64        `json:"estimates,omitempty"`
	StartLatencies   map[string]LatencySummary `json:"task_waits_ms,omitempty"`
	ResponseTimes    LatencySummary            `json:"answers_ms"` // of this node, filled in by the engine
	RejectedRequests map[string]int64          `json:"refused_requests,omitempty"`

	// Problems, which only the leader knows: what somebody on call looks for first.
	AbsentControllers map[string]float64 `json:"nodes_away_s,omitempty"`     // controllers outside the shard map, for how long
	CrashLoopingJobs  map[string]string  `json:"faulty_jobs,omitempty"`      // jobs that seem to fail wherever they run
	UnhealthyMachines map[string]string  `json:"faulty_machines,omitempty"`  // machines in quarantine
	UnseenMachines    int                `json:"machines_unseen,omitempty"`  // that a failover still waits for
	PartitionedZones  map[string]float64 `json:"silent_zones_s,omitempty"`   // zones most of which is silent, for how long
	DrainingMachines  []string           `json:"machines_leaving,omitempty"` // being drained and returned
	FairShareBoosts   []FairShareBoost   `json:"classes_short,omitempty"`    // classes that are served too little, and are boosted
}

// LatencySummary is what a histogram holds, in short.
type LatencySummary struct {
	Count int64 `json:"n"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Summarize sums up a histogram.
func Summarize(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
	}
}

// MachineStatus is one of this member's machines.
type MachineStatus struct {
	Type         string `json:"type"`
	Zone         string `json:"zone"`
	Spot         bool   `json:"spot"`
	Trusted      bool   `json:"trusted"`
	LeaseExpired bool   `json:"silent"`
	Draining     bool   `json:"draining"`
	Tasks        int    `json:"tasks"`
}

// FairShareBoost is a class of a team of which too little was served.
type FairShareBoost struct {
	Team          string  `json:"team"`
	Class         string  `json:"class"` // empty: names that do not recur, together
	Served        float64 `json:"served_jobs"`
	Overdue       float64 `json:"overdue_jobs"`
	AheadOfUrgent bool    `json:"before_urgent"` // it ranks before urgent work, not only before the rest
}

// QueuedJobStatus is a job in the leader's queue.
type QueuedJobStatus struct {
	JobID    string `json:"job"`
	Waiting  int    `json:"waiting"`
	InFlight int    `json:"placed"`
	Reason   string `json:"reason,omitempty"`
}

// status describes this node as it is now.
func (c *Core) status() *Status {
	s := &Status{
		Label: c.settings.Label, Epoch: c.membership.epoch(), MayServe: c.membership.mayServe(),
		Revision: c.mirror.Revision(), Jobs: map[string]int{}, Machines: map[string]MachineStatus{},
	}
	if c.records.leader != nil {
		s.Leader = c.records.leader.Label
	}
	if c.records.shardMap != nil {
		s.Members = sortedKeys(c.records.shardMap.Members)
	}
	c.addJobCounts(s)
	for name, m := range c.shard.machines.All() {
		s.Machines[name] = MachineStatus{Type: m.typeName, Zone: m.zone, Spot: m.spot, Trusted: m.isTrusted(),
			LeaseExpired: m.leaseExpired(), Draining: m.draining, Tasks: len(m.attempts)}
	}
	if c.membership.leading {
		c.addSchedulerStatus(s)
		c.addJobProblems(s)
		c.addMachineProblems(s)
	}
	return s
}

// addJobCounts counts the jobs by state, those that have ended too.
func (c *Core) addJobCounts(s *Status) {
	s.DependentJobs = c.records.dependencies.WaitingCount()
	for _, entry := range c.records.jobs {
		s.Jobs[entry.record.State]++
	}
	for _, ended := range c.records.archive.jobs {
		if ended.done {
			s.Jobs[protocol.JobDone]++
		} else {
			s.Jobs[protocol.JobCancelled]++
		}
	}
}

// addSchedulerStatus adds what the leader plans with.
func (c *Core) addSchedulerStatus(s *Status) {
	s.TeamCPUs = map[string]float64{}
	for team, usage := range c.scheduler.computeTeamUsage() {
		s.TeamCPUs[team] = usage.cpus
	}
	s.DesiredCPUs = c.fleet.desiredCPUs
	s.Estimates = map[string]float64{}
	for key, mean := range c.estimator.Means() {
		s.Estimates[key.String()] = mean
	}
	s.StartLatencies = map[string]LatencySummary{}
	urgencies := []string{protocol.UrgencyProduction, protocol.UrgencyHigh, protocol.UrgencyNormal, protocol.UrgencyLow}
	for level, urgency := range urgencies {
		if latencies := c.scheduler.startLatencies[level]; latencies.TotalCount() > 0 {
			s.StartLatencies[urgency] = Summarize(latencies)
		}
	}
	for id, job := range c.scheduler.queue.All() {
		s.Queue = append(s.Queue, QueuedJobStatus{
			JobID: id, Waiting: max(job.waitingTasks(), 0), InFlight: len(job.inflight), Reason: job.reason,
		})
	}
}

// addJobProblems adds the jobs that fail wherever they run and the classes that are served too
// little.
func (c *Core) addJobProblems(s *Status) {
	s.CrashLoopingJobs = map[string]string{}
	for id, job := range c.scheduler.queue.All() {
		if c.scheduler.isCrashLooping(job) {
			s.CrashLoopingJobs[id] = c.scheduler.failureReason(job)
		}
	}
	for i := range c.scheduler.fairShareStates {
		if state := &c.scheduler.fairShareStates[i]; state.Boost != fairshare.NoBoost {
			s.FairShareBoosts = append(s.FairShareBoosts, FairShareBoost{
				Team: state.Team, Class: state.Class, Served: state.Served, Overdue: state.Overdue,
				AheadOfUrgent: state.Boost == fairshare.BoostAboveUrgent,
			})
		}
	}
}

// addMachineProblems adds the controllers, machines and zones that are not as they should be.
func (c *Core) addMachineProblems(s *Status) {
	s.AbsentControllers, s.UnhealthyMachines, s.PartitionedZones = map[string]float64{}, map[string]string{}, map[string]float64{}
	for label, since := range c.membership.absentSince {
		s.AbsentControllers[label] = (c.now.Monotonic - since).Seconds()
	}
	for name, view := range c.scheduler.machines.All() {
		if view.unhealthy {
			s.UnhealthyMachines[name] = fmt.Sprintf("tasks of %d jobs failed here", len(view.failedJobs))
		}
	}
	for range c.scheduler.unseenMachines() {
		s.UnseenMachines++
	}
	for zone, since := range c.fleet.zonePartitionedSince {
		s.PartitionedZones[zone] = (c.now.Monotonic - since).Seconds()
	}
	for name, inst := range c.fleet.instances.All() {
		if inst.returnReason != "" {
			s.DrainingMachines = append(s.DrainingMachines, name)
		}
	}
}

// IsLeader reports whether this node leads.
func (c *Core) IsLeader() bool { return c.membership.leading }
