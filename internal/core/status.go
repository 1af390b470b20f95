package core

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// Status is the operators' picture of a node.
type Status struct {
	Label    string             `json:"label"`
	Epoch    uint64             `json:"epoch"`
	Leader   string             `json:"leader"`
	Members  []string           `json:"members"`
	Entitled bool               `json:"entitled"`
	Revision uint64             `json:"revision"`
	Jobs     map[string]int     `json:"jobs"`
	Behind   int                `json:"jobs_waiting_for_jobs,omitempty"`
	Machines map[string]Machine `json:"machines"`
	Queue    []Waiting          `json:"queue,omitempty"`
	Teams    map[string]float64 `json:"team_cpus,omitempty"`
	Desired  float64            `json:"desired_cpus,omitempty"`
	Means    map[string]float64 `json:"estimates,omitempty"`
	Waits    map[string]Spread  `json:"task_waits_ms,omitempty"`
	Answers  Spread             `json:"answers_ms"` // of this node, filled in by the engine
	Refused  map[string]int64   `json:"refused_requests,omitempty"`

	// Only on the leader.
	Away   map[string]float64 `json:"nodes_away_s,omitempty"`     // controllers outside the map, for how long
	Faulty map[string]string  `json:"faulty_jobs,omitempty"`      // jobs that seem to fail wherever they run
	Sick   map[string]string  `json:"faulty_machines,omitempty"`  // machines in quarantine
	Unseen int                `json:"machines_unseen,omitempty"`  // that a take-over still waits for
	Silent map[string]float64 `json:"silent_zones_s,omitempty"`   // zones most of which is silent, for how long
	Leaves []string           `json:"machines_leaving,omitempty"` // being drained and returned
	Turns  []Turn             `json:"classes_short,omitempty"`    // classes that are served too little, and have their turn
}

// Spread is what a histogram holds, in short.
type Spread struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// SpreadOf sums up a histogram.
func SpreadOf(h *hdrhistogram.Histogram) Spread {
	return Spread{N: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// Machine is one of this member's machines.
type Machine struct {
	Type    string `json:"type"`
	Zone    string `json:"zone"`
	Spot    bool   `json:"spot"`
	Trusted bool   `json:"trusted"`
	Silent  bool   `json:"silent"`
	Drain   bool   `json:"draining"`
	Tasks   int    `json:"tasks"`
}

// Turn is a class of a team of which too little was served.
type Turn struct {
	Team    string  `json:"team"`
	Class   string  `json:"class"` // empty: names that do not recur, together
	Served  float64 `json:"served_jobs"`
	Overdue float64 `json:"overdue_jobs"`
	Urgent  bool    `json:"before_urgent"` // it ranks before urgent work, not only before the rest
}

// Waiting is a job in the leader's queue.
type Waiting struct {
	Job     string `json:"job"`
	Waiting int    `json:"waiting"`
	Flying  int    `json:"placed"`
	Reason  string `json:"reason,omitempty"`
}

func (c *Core) status() *Status {
	s := &Status{
		Label: c.set.Label, Epoch: c.members.epoch(), Entitled: c.members.entitled(),
		Revision: c.ledger.revision, Jobs: map[string]int{}, Machines: map[string]Machine{},
	}
	if c.ledger.leader != nil {
		s.Leader = c.ledger.leader.Label
	}
	if c.ledger.mapRec != nil {
		s.Members = sortedKeys(c.ledger.mapRec.Members)
	}
	s.Behind = c.ledger.pipes.WaitingCount()
	for _, j := range c.ledger.jobs {
		s.Jobs[j.rec.State]++
	}
	for _, e := range c.ledger.ended.jobs {
		if e.done {
			s.Jobs[wire.JobDone]++
		} else {
			s.Jobs[wire.JobCancelled]++
		}
	}
	for name, r := range c.part.rigs.all() {
		s.Machines[name] = Machine{Type: r.typ, Zone: r.zone, Spot: r.spot, Trusted: r.trusted, Silent: r.lapsed, Drain: r.draining, Tasks: len(r.tasks)}
	}
	if c.members.leading {
		s.Teams = map[string]float64{}
		for team, u := range c.orch.use() {
			s.Teams[team] = u.cpus
		}
		s.Desired = c.fleet.desired
		s.Means = map[string]float64{}
		s.Waits = map[string]Spread{}
		for u, name := range []string{wire.UrgencyProduction, wire.UrgencyHigh, wire.UrgencyNormal, wire.UrgencyLow} {
			if h := c.orch.waits[u]; h.TotalCount() > 0 {
				s.Waits[name] = SpreadOf(h)
			}
		}
		for k, m := range c.est.names {
			s.Means[k.String()] = m.mean
		}
		for id, q := range c.orch.queue.all() {
			s.Queue = append(s.Queue, Waiting{Job: id, Waiting: max(q.waiting(), 0), Flying: len(q.flights), Reason: q.reason})
		}
		c.troubles(s)
	}
	return s
}

// troubles tells what somebody on call looks for first.
func (c *Core) troubles(s *Status) {
	s.Away, s.Faulty, s.Sick, s.Silent = map[string]float64{}, map[string]string{}, map[string]string{}, map[string]float64{}
	for label, since := range c.members.away {
		s.Away[label] = (c.now.Steady - since).Seconds()
	}
	for id, q := range c.orch.queue.all() {
		if c.orch.suspect(q) {
			s.Faulty[id] = c.orch.failedWhere(q)
		}
	}
	for name, v := range c.orch.rigs.all() {
		if v.sick {
			s.Sick[name] = fmt.Sprintf("tasks of %d jobs failed here", len(v.errors))
		}
	}
	for range c.orch.unseen() {
		s.Unseen++
	}
	for i := range c.orch.floors {
		if x := &c.orch.floors[i]; x.Boost != fairshare.NoBoost {
			s.Turns = append(s.Turns, Turn{x.Team, x.Class, x.Served, x.Overdue, x.Boost == fairshare.BoostAboveUrgent})
		}
	}
	for zone, since := range c.fleet.cuts {
		s.Silent[zone] = (c.now.Steady - since).Seconds()
	}
	for name, h := range c.fleet.holds.all() {
		if h.leaving != "" {
			s.Leaves = append(s.Leaves, name)
		}
	}
}

// Leads reports whether this node leads.
func (c *Core) Leads() bool { return c.members.leading }
