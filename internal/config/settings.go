// Package config reads and checks what is configured: the settings file that the platform
// hands over (JSON) and the operators' policy script (Starlark). Both are read once, at
// start. A value that it returns has been checked; what it refuses it names by field, or by
// file and line, all mistakes at once.
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

// Sibling is another controller of the site.
type Sibling struct {
	Label   string `json:"label"`
	Zone    string `json:"area"`
	Address string `json:"address"`
}

// External holds the addresses of the outside systems, host:port.
type External struct {
	Cloud string `json:"cloud"`
	Store string `json:"state"`
}

// Site describes the deployment.
type Site struct {
	InitialControllers int          `json:"initial_size"`
	Zones              []string     `json:"zones"`
	Teams              []Team       `json:"teams"`
	Objectives         []Objective  `json:"objectives"`
	Workers            WorkerTiming `json:"workers"`
	Store              StoreLimits  `json:"state"`
	Cloud              CloudLimits  `json:"cloud"`
	Resources          Resources    `json:"resources"`
	ClockErrorMS       float64      `json:"clock_error_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is one service-level objective of the users: the Share of the jobs of Class that
// is to be done WithinS seconds, or in Times the deadline, by Kind.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// WorkerTiming holds the intervals that workers keep to, in seconds.
type WorkerTiming struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	GangWaitS  float64 `json:"gang_wait_s"`
	GangPeerS  float64 `json:"gang_peer_s"`
	CancelS    float64 `json:"cancel_s"`
}

// StoreLimits holds the limits of the key-value store, and those that it will have from some
// unannounced moment on. A limit that Next leaves out stays.
type StoreLimits struct {
	RPS       float64      `json:"rps"`
	WriteRPS  float64      `json:"write_rps"`
	ValueKB   float64      `json:"value_kb"`
	MaxTxnOps int          `json:"txn_ops"`
	Next      *StoreLimits `json:"next"`
}

// Lowest is what holds now and will hold then: the smaller of each limit.
//
// Guards against what could be written only before the limits fell, and would have to be
// rewritten afterwards at a rate that has fallen too.
func (s *StoreLimits) Lowest() StoreLimits {
	out := *s
	out.Next = nil
	if s.Next != nil {
		out.RPS = smallerLimit(s.RPS, s.Next.RPS)
		out.WriteRPS = smallerLimit(s.WriteRPS, s.Next.WriteRPS)
		out.ValueKB = smallerLimit(s.ValueKB, s.Next.ValueKB)
		out.MaxTxnOps = int(smallerLimit(float64(s.MaxTxnOps), float64(s.Next.MaxTxnOps)))
	}
	return out
}

// smallerLimit is the smaller limit; a next one of 0 is not set.
func smallerLimit(now, next float64) float64 {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// CloudLimits holds the cloud's limits.
type CloudLimits struct {
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
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// FieldError says what is wrong with one field of a settings file.
type FieldError struct {
	Field   string // its path, for example settings.teams[0]
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// validation collects what is wrong with a settings file.
type validation struct{ errs []error }

func (v *validation) reject(field, problem string) {
	v.errs = append(v.errs, &FieldError{Field: field, Problem: problem})
}

func (v *validation) requireAddress(field, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.reject(field, "must be host:port")
	}
}

func (v *validation) requirePositive(field string, value float64) {
	if !(value > 0) {
		v.reject(field, "must be above 0")
	}
}

// requireUnique rejects a name that is empty or already among seen, and adds it to them.
func (v *validation) requireUnique(field, name string, seen map[string]bool) {
	if name == "" || seen[name] {
		v.reject(field, "is missing or used twice")
	}
	seen[name] = true
}

// validate fills in what has a default and returns one FieldError for each mistake, joined.
func (s *Settings) validate() error {
	v := &validation{}
	s.validateController(v)
	site := &s.Site
	if site.InitialControllers == 0 {
		site.InitialControllers = len(s.Siblings) + 1
	}
	validateTeams(v, site.Teams)
	validateWorkers(v, &site.Workers)
	validateStore(v, &site.Store)
	v.requirePositive("settings.cloud.rps", site.Cloud.RPS)
	v.requirePositive("settings.resources.ram_mb", site.Resources.RAMMB)
	v.requirePositive("settings.resources.max_sockets", float64(site.Resources.MaxSockets))
	return errors.Join(v.errs...)
}

// validateController checks what is this controller's own, and its siblings.
func (s *Settings) validateController(v *validation) {
	if s.Label == "" {
		v.reject("label", "is missing")
	}
	v.requireAddress("serve_on", s.Listen)
	v.requireAddress("peer_listen", s.PeerListen)
	v.requireAddress("external.cloud", s.External.Cloud)
	v.requireAddress("external.state", s.External.Store)
	labels := map[string]bool{s.Label: true}
	for i, sibling := range s.Siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		v.requireUnique(field+".label", sibling.Label, labels)
		v.requireAddress(field+".address", sibling.Address)
	}
}

func validateTeams(v *validation, teams []Team) {
	names := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("settings.teams[%d]", i)
		v.requireUnique(field+".name", team.Name, names)
		if team.CPUs < 0 || team.CPUsMax < 0 || team.GPUs < 0 || team.GPUsMax < 0 {
			v.reject(field, "has a negative amount")
		}
		if team.CPUsMax > 0 && team.CPUs > team.CPUsMax || team.GPUsMax > 0 && team.GPUs > team.GPUsMax {
			v.reject(field, "guarantees more than its limit")
		}
	}
}

// The least that a worker's lease must be, in heartbeat intervals, and a cancellation's
// time, in leases: a worker that is cut off keeps its tasks for a lease.
const (
	minLeaseHeartbeats = 2
	minCancelLeases    = 1.2
)

func validateWorkers(v *validation, workers *WorkerTiming) {
	v.requirePositive("settings.workers.report_s", workers.HeartbeatS)
	v.requirePositive("settings.workers.lease_s", workers.LeaseS)
	v.requirePositive("settings.workers.cancel_s", workers.CancelS)
	if workers.LeaseS < minLeaseHeartbeats*workers.HeartbeatS {
		v.reject("settings.workers.lease_s", "must be at least twice report_s")
	}
	if workers.CancelS < minCancelLeases*workers.LeaseS {
		v.reject("settings.workers.cancel_s", "must be at least 1.2 times lease_s: a worker that is cut off goes on for lease_s")
	}
}

func validateStore(v *validation, store *StoreLimits) {
	v.requirePositive("settings.state.rps", store.RPS)
	v.requirePositive("settings.state.write_rps", store.WriteRPS)
	v.requirePositive("settings.state.value_kb", store.ValueKB)
	v.requirePositive("settings.state.txn_ops", float64(store.MaxTxnOps))
	if next := store.Next; next != nil && !(next.RPS >= 0 && next.WriteRPS >= 0 && next.ValueKB >= 0 && next.MaxTxnOps >= 0) {
		v.reject("settings.state.next", "has a negative limit")
	}
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
