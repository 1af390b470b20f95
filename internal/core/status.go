package core

import (
	"github.com/HdrHistogram/hdrhistogram-go"

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
	Machines map[string]Machine `json:"machines"`
	Queue    []Waiting          `json:"queue,omitempty"`
	Teams    map[string]float64 `json:"team_cpus,omitempty"`
	Desired  float64            `json:"desired_cpus,omitempty"`
	Means    map[string]float64 `json:"estimates,omitempty"`
	Waits    map[string]Spread  `json:"task_waits_ms,omitempty"`
	Answers  Spread             `json:"answers_ms"` // of this node, filled in by the engine
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
	for _, j := range c.ledger.jobs {
		s.Jobs[j.rec.State]++
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
			s.Means[k] = m.mean
		}
		for id, q := range c.orch.queue.all() {
			s.Queue = append(s.Queue, Waiting{Job: id, Waiting: max(q.waiting(), 0), Flying: len(q.flights), Reason: q.reason})
		}
	}
	return s
}

// Leads reports whether this node leads.
func (c *Core) Leads() bool { return c.members.leading }
