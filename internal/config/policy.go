package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Policy holds the operators' own choices, beyond the platform's file.
type Policy struct {
	AgingLeases         float64 // waiting this many worker leases halves a task's rank
	HistoryTasks        float64 // how many durations a running mean remembers
	QuarantineJobs      int     // failures of this many jobs make a machine faulty
	ProgressShare       float64 // share of the state writes that progress may take
	SpotShare           float64 // largest share of the CPUs on cheap machines
	IdleBoots           float64 // an idle machine is kept for this many boot times
	HorizonShare        float64 // share of an aim's time in which queued work should be done
	SoonBoots           float64 // queued work should be done within this many boot times, on cheap machines
	RushBoots           float64 // an ordinary machine is hired for work that has more than this many boot times left
	PreemptReports      float64 // a task is stopped for others if it loses at most this many report periods of work
	PreemptForGuarantee bool    // stop what others run beyond their guarantee
	BootPatience        float64 // a boot is given up after this many boot times
	FloorShare          float64 // the share of the jobs of each class of a team that is served before others go on; 0: none
	FloorLeases         float64 // a job that waits for longer than this many worker leases is overdue
	BeginS              float64 // seconds within which the largest arrays of a class are to begin; 0: no promise
}

// DefaultPolicy is what holds without a script.
func DefaultPolicy() Policy {
	return Policy{
		AgingLeases:         10,
		HistoryTasks:        200,
		QuarantineJobs:      2,
		ProgressShare:       0.4,
		SpotShare:           1,
		IdleBoots:           0.5,
		HorizonShare:        0.15,
		SoonBoots:           1,
		RushBoots:           4,
		PreemptReports:      4,
		PreemptForGuarantee: false,
		BootPatience:        3,
		FloorShare:          0.55,
		FloorLeases:         5,
		BeginS:              240,
	}
}

// Bounds of a policy script: it is run once, at start.
const (
	policySteps = 1_000_000
	policyTime  = 2 * time.Second
)

// LoadPolicy runs a Starlark script whose global variables set the choices.
func LoadPolicy(path string) (Policy, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, err
	}
	return ParsePolicy(path, src)
}

// ParsePolicy runs the script src; name stands in its errors.
func ParsePolicy(name string, src []byte) (Policy, error) {
	p := DefaultPolicy()
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(policySteps)
	stop := time.AfterFunc(policyTime, func() { thread.Cancel("took longer than " + policyTime.String()) })
	defer stop.Stop()
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	globals, err := starlark.ExecFileOptions(opts, thread, name, src, nil)
	if err != nil {
		var e *starlark.EvalError
		if errors.As(err, &e) {
			at := syntax.MakePosition(&name, 0, 0)
			for _, f := range e.CallStack {
				if f.Pos.Filename() == name {
					at = f.Pos
				}
			}
			return p, fmt.Errorf("%s: %s", at, e.Msg)
		}
		return p, err
	}
	var errs []error
	number := func(key string, into *float64, lo, hi float64) {
		v, ok := globals[key]
		if !ok {
			return
		}
		x, ok := starlark.AsFloat(v)
		if !ok || math.IsNaN(x) || x < lo || x > hi {
			errs = append(errs, fmt.Errorf("%s: %s = %s: must be a number from %g to %g", lineOf(name, src, key), key, v, lo, hi))
			return
		}
		*into = x
	}
	quarantine, guarantee := float64(p.QuarantineJobs), 1.0
	known := map[string]bool{}
	for _, f := range []struct {
		key    string
		into   *float64
		lo, hi float64
	}{
		{"aging_leases", &p.AgingLeases, 0.1, 1e6},
		{"history_tasks", &p.HistoryTasks, 1, 1e6},
		{"quarantine_jobs", &quarantine, 1, 1000},
		{"progress_share", &p.ProgressShare, 0.05, 0.9},
		{"spot_share", &p.SpotShare, 0, 1},
		{"idle_boots", &p.IdleBoots, 0, 1000},
		{"horizon_share", &p.HorizonShare, 0.05, 1},
		{"soon_boots", &p.SoonBoots, 0.1, 1000},
		{"rush_boots", &p.RushBoots, 0, 1000},
		{"preempt_reports", &p.PreemptReports, 0, 1e6},
		{"preempt_for_guarantee", &guarantee, 0, 1},
		{"boot_patience", &p.BootPatience, 1.5, 100},
		{"floor_share", &p.FloorShare, 0, 0.95},
		{"floor_leases", &p.FloorLeases, 1, 1e6},
		{"begin_s", &p.BeginS, 0, 1e9},
	} {
		known[f.key] = true
		number(f.key, f.into, f.lo, f.hi)
	}
	p.QuarantineJobs = int(quarantine)
	p.PreemptForGuarantee = guarantee > 0
	for _, key := range globals.Keys() {
		if _, fn := globals[key].(starlark.Callable); !known[key] && !fn && key[0] != '_' {
			errs = append(errs, fmt.Errorf("%s: %s is no setting (helpers begin with _)", lineOf(name, src, key), key))
		}
	}
	return p, errors.Join(errs...)
}

// lineOf finds where a global is last set.
func lineOf(name string, src []byte, key string) string {
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	f, err := opts.Parse(name, src, 0)
	at := name
	if err == nil {
		syntax.Walk(f, func(n syntax.Node) bool {
			if a, ok := n.(*syntax.AssignStmt); ok {
				if id, ok := a.LHS.(*syntax.Ident); ok && id.Name == key {
					at = fmt.Sprintf("%s:%d", name, id.NamePos.Line)
				}
			}
			return true
		})
	}
	return at
}
