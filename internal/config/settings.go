// Package config reads the platform's settings file and the operators' policy.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/goccy/go-json"
)

// Settings is the file that the platform hands over. Unknown fields are ignored.
type Settings struct {
	Label      string    `json:"label"`
	Zone       string    `json:"area"`
	Listen     string    `json:"serve_on"`
	PeerListen string    `json:"peer_listen"`
	Siblings   []Sibling `json:"siblings"`
	External   External  `json:"external"`
	Site       Site      `json:"settings"`
}

// Sibling is another controller.
type Sibling struct {
	Label   string `json:"label"`
	Zone    string `json:"area"`
	Address string `json:"address"`
}

// External names the outside systems.
type External struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Site describes the deployment.
type Site struct {
	InitialSize  int         `json:"initial_size"`
	Zones        []string    `json:"zones"`
	Teams        []Team      `json:"teams"`
	Objectives   []Objective `json:"objectives"`
	Workers      Workers     `json:"workers"`
	State        State       `json:"state"`
	Cloud        Cloud       `json:"cloud"`
	Resources    Resources   `json:"resources"`
	ClockErrorMS float64     `json:"clock_error_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one aim of the users.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Workers holds the workers' periods, in seconds.
type Workers struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

// State holds the state service's limits, and those that it will have from some moment
// on that nobody tells. A limit that Next leaves out stays.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	Next     *State  `json:"next"`
}

// Least is what holds now and will hold then: the smaller of each limit.
//
// Guards against what could be written only before the limits fell, and would have to be
// rewritten afterwards at a rate that has fallen too.
func (s *State) Least() State {
	out := *s
	out.Next = nil
	if n := s.Next; n != nil {
		least := func(now, then float64) float64 {
			if then > 0 {
				return min(now, then)
			}
			return now
		}
		out.RPS, out.WriteRPS, out.ValueKB = least(s.RPS, n.RPS), least(s.WriteRPS, n.WriteRPS), least(s.ValueKB, n.ValueKB)
		out.TxnOps = int(least(float64(s.TxnOps), float64(n.TxnOps)))
	}
	return out
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Resources is what the process may use.
type Resources struct {
	Cores      float64 `json:"cores"`
	RAMMB      float64 `json:"ram_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks settings; an error names the field.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check() error {
	var errs []error
	bad := func(field, what string) { errs = append(errs, fmt.Errorf("%s: %s", field, what)) }
	address := func(field, v string) {
		if _, _, err := net.SplitHostPort(v); err != nil {
			bad(field, "must be host:port")
		}
	}
	positive := func(field string, v float64) {
		if !(v > 0) {
			bad(field, "must be above 0")
		}
	}
	if s.Label == "" {
		bad("label", "is missing")
	}
	address("serve_on", s.Listen)
	address("peer_listen", s.PeerListen)
	address("external.cloud", s.External.Cloud)
	address("external.state", s.External.State)
	seen := map[string]bool{s.Label: true}
	for i, p := range s.Siblings {
		f := fmt.Sprintf("siblings[%d]", i)
		if p.Label == "" || seen[p.Label] {
			bad(f+".label", "is missing or used twice")
		}
		seen[p.Label] = true
		address(f+".address", p.Address)
	}
	site := &s.Site
	if site.InitialSize == 0 {
		site.InitialSize = len(s.Siblings) + 1
	}
	teams := map[string]bool{}
	for i, t := range site.Teams {
		f := fmt.Sprintf("settings.teams[%d]", i)
		if t.Name == "" || teams[t.Name] {
			bad(f+".name", "is missing or used twice")
		}
		teams[t.Name] = true
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			bad(f, "has a negative amount")
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax || t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			bad(f, "guarantees more than its limit")
		}
	}
	positive("settings.workers.report_s", site.Workers.ReportS)
	positive("settings.workers.lease_s", site.Workers.LeaseS)
	positive("settings.workers.cancel_s", site.Workers.CancelS)
	if site.Workers.LeaseS < 2*site.Workers.ReportS {
		bad("settings.workers.lease_s", "must be at least twice report_s")
	}
	if site.Workers.CancelS < 1.2*site.Workers.LeaseS {
		bad("settings.workers.cancel_s", "must be at least 1.2 times lease_s: a worker that is cut off goes on for lease_s")
	}
	positive("settings.state.rps", site.State.RPS)
	positive("settings.state.write_rps", site.State.WriteRPS)
	positive("settings.state.value_kb", site.State.ValueKB)
	positive("settings.state.txn_ops", float64(site.State.TxnOps))
	if n := site.State.Next; n != nil && !(n.RPS >= 0 && n.WriteRPS >= 0 && n.ValueKB >= 0 && n.TxnOps >= 0) {
		bad("settings.state.next", "has a negative limit")
	}
	positive("settings.cloud.rps", site.Cloud.RPS)
	positive("settings.resources.ram_mb", site.Resources.RAMMB)
	positive("settings.resources.max_sockets", float64(site.Resources.MaxSockets))
	return errors.Join(errs...)
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
