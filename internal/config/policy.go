package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Policy holds the parameters that operators set in a policy script, in addition to the platform's
// settings file. docs/operations.md describes the purpose of each. A boot time is that of the type of
// the machine that is rented, kept or booted.
type Policy struct {
	AgingLeases         float64 // waiting for this many worker leases halves the remaining work by which a job is ranked
	HistoryTasks        float64 // a running mean of durations covers about this many latest tasks
	QuarantineJobs      int     // a machine is quarantined once this many jobs have failed on it
	ProgressShare       float64 // share of the writes to the state service that records of progress may take
	SpotShare           float64 // largest share of the CPUs for work that allows spot machines that is rented as spot machines
	IdleBoots           float64 // an idle spot machine is kept for this many boot times
	HorizonShare        float64 // queued work should be done within this share of the time that remains to meet its objective
	SpotMinBoots        float64 // a spot machine is rented only to serve queued work for at least this many boot times
	OnDemandMinBoots    float64 // an on-demand machine is rented only for work that has at least this many boot times left until it must be done
	PreemptHeartbeats   float64 // a task may be preempted if it loses at most this many heartbeat intervals of work
	PreemptForGuarantee bool    // for jobs within their team's guarantee, preempt tasks that other teams run beyond theirs
	BootTimeoutFactor   float64 // boot timeout of a machine, in boot times
	FairShare           float64 // a team's jobs of a class are boosted while less than this share of its served and overdue jobs is served; 0: never
	OverdueLeases       float64 // a job that has waited for more than this many worker leases is overdue
	LargestStartS       float64 // seconds within which the largest arrays of a class should start; 0: no such target
}

// DefaultPolicy returns the policy that applies without a script.
func DefaultPolicy() Policy {
	return Policy{
		AgingLeases:         10,
		HistoryTasks:        200,
		QuarantineJobs:      2,
		ProgressShare:       0.4,
		SpotShare:           1,
		IdleBoots:           0.5,
		HorizonShare:        0.15,
		SpotMinBoots:        1,
		OnDemandMinBoots:    4,
		PreemptHeartbeats:   4,
		PreemptForGuarantee: false,
		BootTimeoutFactor:   3,
		FairShare:           0.55,
		OverdueLeases:       5,
		LargestStartS:       240,
	}
}

// Limits on the run of a policy script. The script runs once, when the controller starts, and must not
// block the start for long.
const (
	policyMaxSteps = 1_000_000
	policyTimeout  = 2 * time.Second
)

// LoadPolicy runs the Starlark script at path, whose global variables set fields of the policy. Errors
// are those of ParsePolicy and of reading the file.
func LoadPolicy(path string) (Policy, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, err
	}
	return ParsePolicy(path, src)
}

// ScriptError describes one problem of a policy script and its position.
type ScriptError struct {
	Position string // file, file:line or file:line:column
	Problem  string
}

func (e *ScriptError) Error() string { return e.Position + ": " + e.Problem }

// ParsePolicy runs the script src and returns the default policy with the changes that the script makes.
// Errors give name as the file. All variables with a bad value and all unknown variables are reported at
// once, one ScriptError each, joined.
func ParsePolicy(name string, src []byte) (Policy, error) {
	policy := DefaultPolicy()
	globals, err := runScript(name, src)
	if err != nil {
		return policy, err
	}
	variables := policy.variables()
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(variables)) {
		if value, ok := globals[key]; ok {
			if problem := variables[key].apply(value); problem != "" {
				errs = append(errs, &ScriptError{lineOf(name, src, key), fmt.Sprintf("%s = %s: %s", key, value, problem)})
			}
		}
	}
	for _, key := range globals.Keys() {
		_, known := variables[key]
		if _, isFunction := globals[key].(starlark.Callable); !known && !isFunction && key[0] != '_' {
			errs = append(errs, &ScriptError{lineOf(name, src, key), key + " is not a policy variable (names of helpers must start with _)"})
		}
	}
	return policy, errors.Join(errs...)
}

// variable is a global variable of the script that sets a field of the policy to a number between low
// and high. If the script does not set the variable, the field keeps its default.
type variable struct {
	set       func(float64)
	low, high float64
}

// apply sets the field to the script's value. If the value is not valid, it leaves the field unchanged
// and returns the problem.
func (v variable) apply(value starlark.Value) (problem string) {
	x, ok := starlark.AsFloat(value)
	if !ok || math.IsNaN(x) || x < v.low || x > v.high {
		return fmt.Sprintf("must be a number from %g to %g", v.low, v.high)
	}
	v.set(x)
	return ""
}

// number returns a variable that sets a float field.
func number(field *float64, low, high float64) variable {
	return variable{func(x float64) { *field = x }, low, high}
}

// wholeNumber returns a variable that sets an integer field. The script's value is rounded down.
func wholeNumber(field *int, low, high float64) variable {
	return variable{func(x float64) { *field = int(x) }, low, high}
}

// flag returns a variable that sets a boolean field: 0 is false, and any number above 0 and up to 1 is
// true.
func flag(field *bool) variable {
	return variable{func(x float64) { *field = x > 0 }, 0, 1}
}

// variables returns the script's variables by name, bound to the fields of p.
func (p *Policy) variables() map[string]variable {
	return map[string]variable{
		"aging_leases":          number(&p.AgingLeases, 0.1, 1e6),
		"history_tasks":         number(&p.HistoryTasks, 1, 1e6),
		"quarantine_jobs":       wholeNumber(&p.QuarantineJobs, 1, 1000),
		"progress_share":        number(&p.ProgressShare, 0.05, 0.9),
		"spot_share":            number(&p.SpotShare, 0, 1),
		"idle_boots":            number(&p.IdleBoots, 0, 1000),
		"horizon_share":         number(&p.HorizonShare, 0.05, 1),
		"soon_boots":            number(&p.SpotMinBoots, 0.1, 1000),
		"rush_boots":            number(&p.OnDemandMinBoots, 0, 1000),
		"preempt_reports":       number(&p.PreemptHeartbeats, 0, 1e6),
		"preempt_for_guarantee": flag(&p.PreemptForGuarantee),
		"boot_patience":         number(&p.BootTimeoutFactor, 1.5, 100),
		"floor_share":           number(&p.FairShare, 0, 0.95),
		"floor_leases":          number(&p.OverdueLeases, 1, 1e6),
		"begin_s":               number(&p.LargestStartS, 0, 1e9),
	}
}

// dialect allows policy scripts some statements that standard Starlark does not: loops and conditions
// at the top level, while loops and the reassignment of globals.
var dialect = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}

// runScript runs a script within policyMaxSteps and policyTimeout and returns its global variables.
func runScript(name string, src []byte) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(policyMaxSteps)
	stop := time.AfterFunc(policyTimeout, func() { thread.Cancel("the policy script ran longer than " + policyTimeout.String()) })
	defer stop.Stop()
	globals, err := starlark.ExecFileOptions(dialect, thread, name, src, nil)
	var failure *starlark.EvalError
	if errors.As(err, &failure) {
		return nil, &ScriptError{innermostPosition(failure, name).String(), failure.Msg}
	}
	return globals, err
}

// innermostPosition returns the position of the innermost call frame that is in the script itself.
func innermostPosition(failure *starlark.EvalError, name string) syntax.Position {
	position := syntax.MakePosition(&name, 0, 0)
	for _, frame := range failure.CallStack {
		if frame.Pos.Filename() == name {
			position = frame.Pos
		}
	}
	return position
}

// lineOf returns the position of the last statement that sets a global variable, as file:line. It
// returns only the file's name if there is none.
func lineOf(name string, src []byte, key string) string {
	file, err := dialect.Parse(name, src, 0)
	if err != nil {
		return name
	}
	position := name
	syntax.Walk(file, func(node syntax.Node) bool {
		if assignment, ok := node.(*syntax.AssignStmt); ok {
			if target, ok := assignment.LHS.(*syntax.Ident); ok && target.Name == key {
				position = fmt.Sprintf("%s:%d", name, target.NamePos.Line)
			}
		}
		return true
	})
	return position
}
