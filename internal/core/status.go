package core

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Status is the operators' picture of a node.
type Status struct {
	Label            string                    `json:"label"`
	Epoch            uint64                    `json:"epoch"`
	Leader           string                    `json:"leader"`
	Members          []string                  `json:"members"`
	Entitled         bool                      `json:"entitled"`
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

	// Only on the leader.
	AbsentControllers map[string]float64 `json:"nodes_away_s,omitempty"`     // controllers outside the map, for how long
	CrashLoopingJobs  map[string]string  `json:"faulty_jobs,omitempty"`      // jobs that seem to fail wherever they run
	UnhealthyMachines map[string]string  `json:"faulty_machines,omitempty"`  // machines in quarantine
	UnseenMachines    int                `json:"machines_unseen,omitempty"`  // that a take-over still waits for
	SilentZones       map[string]float64 `json:"silent_zones_s,omitempty"`   // zones most of which is silent, for how long
	DrainingMachines  []string           `json:"machines_leaving,omitempty"` // being drained and returned
	FairShareBoosts   []FairShareBoost   `json:"classes_short,omitempty"`    // classes that are served too little, and have their turn
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
	return LatencySummary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// MachineStatus is one of this member's machines.
type MachineStatus struct {
	Type     string `json:"type"`
	Zone     string `json:"zone"`
	Spot     bool   `json:"spot"`
	Trusted  bool   `json:"trusted"`
	Silent   bool   `json:"silent"`
	Draining bool   `json:"draining"`
	Tasks    int    `json:"tasks"`
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

func (c *Core) status() *Status {
	s := &Status{
		Label: c.settings.Label, Epoch: c.membership.epoch(), Entitled: c.membership.mayServe(),
		Revision: c.mirror.Revision(), Jobs: map[string]int{}, Machines: map[string]MachineStatus{},
	}
	if c.records.leader != nil {
		s.Leader = c.records.leader.Label
	}
	if c.records.shardMap != nil {
		s.Members = sortedKeys(c.records.shardMap.Members)
	}
	s.DependentJobs = c.records.dependencies.WaitingCount()
	for _, j := range c.records.jobs {
		s.Jobs[j.record.State]++
	}
	for _, e := range c.records.archive.jobs {
		if e.done {
			s.Jobs[protocol.JobDone]++
		} else {
			s.Jobs[protocol.JobCancelled]++
		}
	}
	for name, r := range c.shard.machines.all() {
		s.Machines[name] = MachineStatus{Type: r.typeName, Zone: r.zone, Spot: r.spot, Trusted: r.isTrusted(), Silent: r.leaseExpired(), Draining: r.draining, Tasks: len(r.attempts)}
	}
	if c.membership.leading {
		s.TeamCPUs = map[string]float64{}
		for team, u := range c.scheduler.computeTeamUsage() {
			s.TeamCPUs[team] = u.cpus
		}
		s.DesiredCPUs = c.fleet.desiredCPUs
		s.Estimates = map[string]float64{}
		s.StartLatencies = map[string]LatencySummary{}
		for u, name := range []string{protocol.UrgencyProduction, protocol.UrgencyHigh, protocol.UrgencyNormal, protocol.UrgencyLow} {
			if h := c.scheduler.startLatencies[u]; h.TotalCount() > 0 {
				s.StartLatencies[name] = Summarize(h)
			}
		}
		for k, m := range c.estimator.history {
			s.Estimates[k.String()] = m.mean
		}
		for id, q := range c.scheduler.queue.all() {
			s.Queue = append(s.Queue, QueuedJobStatus{JobID: id, Waiting: max(q.waitingTasks(), 0), InFlight: len(q.inflight), Reason: q.reason})
		}
		c.addProblems(s)
	}
	return s
}

// addProblems tells what somebody on call looks for first.
func (c *Core) addProblems(s *Status) {
	s.AbsentControllers, s.CrashLoopingJobs, s.UnhealthyMachines, s.SilentZones = map[string]float64{}, map[string]string{}, map[string]string{}, map[string]float64{}
	for label, since := range c.membership.absentSince {
		s.AbsentControllers[label] = (c.now.Monotonic - since).Seconds()
	}
	for id, q := range c.scheduler.queue.all() {
		if c.scheduler.isCrashLooping(q) {
			s.CrashLoopingJobs[id] = c.scheduler.failureReason(q)
		}
	}
	for name, v := range c.scheduler.machines.all() {
		if v.unhealthy {
			s.UnhealthyMachines[name] = fmt.Sprintf("tasks of %d jobs failed here", len(v.failedJobs))
		}
	}
	for range c.scheduler.unseenMachines() {
		s.UnseenMachines++
	}
	for i := range c.scheduler.fairShareStates {
		if x := &c.scheduler.fairShareStates[i]; x.Boost != fairshare.NoBoost {
			s.FairShareBoosts = append(s.FairShareBoosts, FairShareBoost{x.Team, x.Class, x.Served, x.Overdue, x.Boost == fairshare.BoostAboveUrgent})
		}
	}
	for zone, since := range c.fleet.silentZones {
		s.SilentZones[zone] = (c.now.Monotonic - since).Seconds()
	}
	for name, h := range c.fleet.instances.all() {
		if h.returnReason != "" {
			s.DrainingMachines = append(s.DrainingMachines, name)
		}
	}
}

// IsLeader reports whether this node leads.
func (c *Core) IsLeader() bool { return c.membership.leading }
