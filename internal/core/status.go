package core

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Status is what a controller reports about itself to operators. Its JSON names are a public
// interface. Fields that only the leader knows are empty on other controllers.
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
	ResponseTimes    LatencySummary            `json:"answers_ms"` // of the requests to this controller; filled in by the engine
	RejectedRequests map[string]int64          `json:"refused_requests,omitempty"`

	// Problems that an operator on call looks for first. Only the leader knows them.
	AbsentControllers map[string]float64 `json:"nodes_away_s,omitempty"`     // controllers outside the shard map, and for how many seconds
	CrashLoopingJobs  map[string]string  `json:"faulty_jobs,omitempty"`      // jobs that seem to fail on every machine, and why
	UnhealthyMachines map[string]string  `json:"faulty_machines,omitempty"`  // machines in quarantine, and why
	UnseenMachines    int                `json:"machines_unseen,omitempty"`  // machines that may run tasks this leader does not know of yet; a failover waits for them
	PartitionedZones  map[string]float64 `json:"silent_zones_s,omitempty"`   // zones most of whose machines are unreachable, and for how many seconds
	DrainingMachines  []string           `json:"machines_leaving,omitempty"` // machines that are being drained before they are returned
	FairShareBoosts   []FairShareBoost   `json:"classes_short,omitempty"`    // classes that got less than their fair share and are boosted
}

// LatencySummary summarizes a histogram of latencies, in the unit of the histogram.
type LatencySummary struct {
	Count int64 `json:"n"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// Summarize returns the count, the maximum and three quantiles of a histogram.
func Summarize(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
	}
}

// MachineStatus describes one of the machines in this controller's shard.
type MachineStatus struct {
	Type         string `json:"type"`
	Zone         string `json:"zone"`
	Spot         bool   `json:"spot"`
	Trusted      bool   `json:"trusted"` // its list of tasks is confirmed, because its newest message had the current fencing token
	LeaseExpired bool   `json:"silent"`  // its worker's lease has surely expired, so it runs no tasks
	Draining     bool   `json:"draining"`
	Tasks        int    `json:"tasks"`
}

// FairShareBoost describes a class of a team's jobs that got less than its fair share and is boosted.
type FairShareBoost struct {
	Team          string  `json:"team"`
	Class         string  `json:"class"`         // "" if the team has many classes with few jobs each, which are then counted together
	Served        float64 `json:"served_jobs"`   // number of completed jobs, weighted less the older they are, plus the started shares of unfinished ones
	Overdue       float64 `json:"overdue_jobs"`  // sum of the unstarted shares of overdue jobs
	AheadOfUrgent bool    `json:"before_urgent"` // it ranks ahead of urgent work too, not only ahead of other work
}

// QueuedJobStatus describes a job in the leader's queue.
type QueuedJobStatus struct {
	JobID    string `json:"job"`
	Waiting  int    `json:"waiting"`          // number of tasks that are neither completed nor dispatched
	InFlight int    `json:"placed"`           // number of dispatched tasks that have not ended
	Reason   string `json:"reason,omitempty"` // why it waits
}

// status returns the current status of this controller.
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

// addJobCounts adds the number of jobs by state, including finished ones.
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

// addSchedulerStatus adds what the leader bases its decisions on: usage, demand, estimates, latencies
// and the queue.
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

// addJobProblems adds the crash-looping jobs and the classes that are boosted because they got less
// than their fair share.
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

// addMachineProblems adds controllers outside the shard map, unhealthy, unseen and draining machines,
// and partitioned zones.
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

// IsLeader reports whether this controller is the leader.
func (c *Core) IsLeader() bool { return c.membership.leading }
