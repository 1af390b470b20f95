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

// Policy holds the operators' own choices, beyond the platform's file. What each is for is in
// docs/operations.md.
type Policy struct {
	AgingLeases         float64 // waiting this many worker leases halves a task's rank
	HistoryTasks        float64 // how many durations a running mean remembers
	QuarantineJobs      int     // failures of this many jobs make a machine faulty
	ProgressShare       float64 // share of the state writes that progress may take
	SpotShare           float64 // largest share of the CPUs on cheap machines
	IdleBoots           float64 // an idle machine is kept for this many boot times
	HorizonShare        float64 // share of an aim's time in which queued work should be done
	SpotMinBoots        float64 // queued work should be done within this many boot times, on cheap machines
	OnDemandMinBoots    float64 // an ordinary machine is hired for work that has more than this many boot times left
	PreemptHeartbeats   float64 // a task is stopped for others if it loses at most this many report periods of work
	PreemptForGuarantee bool    // stop what others run beyond their guarantee
	BootTimeoutFactor   float64 // a boot is given up after this many boot times
	FairShare           float64 // the share of the jobs of each class of a team that is served before others go on; 0: none
	OverdueLeases       float64 // a job that waits for longer than this many worker leases is overdue
	LargestStartS       float64 // seconds within which the largest arrays of a class are to begin; 0: no promise
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

// Bounds of a policy script: it is run once, at start.
const (
	policyMaxSteps = 1_000_000
	policyTimeout  = 2 * time.Second
)

// LoadPolicy runs a Starlark script whose global variables set the choices.
func LoadPolicy(path string) (Policy, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, err
	}
	return ParsePolicy(path, src)
}

// ScriptError says what is wrong with a policy script, and where.
type ScriptError struct {
	Position string // file, file:line or file:line:column
	Problem  string
}

func (e *ScriptError) Error() string { return e.Position + ": " + e.Problem }

// ParsePolicy runs the script src; name stands in its errors.
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
			errs = append(errs, &ScriptError{lineOf(name, src, key), key + " is no setting (helpers begin with _)"})
		}
	}
	return policy, errors.Join(errs...)
}

// variable is a global of the script that sets a field of the policy, and its bounds. A field whose
// variable the script does not set is not touched.
type variable struct {
	set       func(float64)
	low, high float64
}

// apply takes the script's value and says what is wrong with it, if anything.
func (v variable) apply(value starlark.Value) (problem string) {
	x, ok := starlark.AsFloat(value)
	if !ok || math.IsNaN(x) || x < v.low || x > v.high {
		return fmt.Sprintf("must be a number from %g to %g", v.low, v.high)
	}
	v.set(x)
	return ""
}

// number is a variable of a number.
func number(field *float64, low, high float64) variable {
	return variable{func(x float64) { *field = x }, low, high}
}

// wholeNumber is a variable of a whole number; what the script says is rounded down.
func wholeNumber(field *int, low, high float64) variable {
	return variable{func(x float64) { *field = int(x) }, low, high}
}

// flag is a variable that is off at 0 and on above, up to 1.
func flag(field *bool) variable {
	return variable{func(x float64) { *field = x > 0 }, 0, 1}
}

// variables are the globals that set the fields of the policy.
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

// dialect is what a policy script may use beside the standard language.
var dialect = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}

// runScript runs a script within its bounds and returns its globals.
func runScript(name string, src []byte) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(policyMaxSteps)
	stop := time.AfterFunc(policyTimeout, func() { thread.Cancel("took longer than " + policyTimeout.String()) })
	defer stop.Stop()
	globals, err := starlark.ExecFileOptions(dialect, thread, name, src, nil)
	var failure *starlark.EvalError
	if errors.As(err, &failure) {
		return nil, &ScriptError{innermostPosition(failure, name).String(), failure.Msg}
	}
	return globals, err
}

// innermostPosition is where in the script itself an error arose.
func innermostPosition(failure *starlark.EvalError, name string) syntax.Position {
	position := syntax.MakePosition(&name, 0, 0)
	for _, frame := range failure.CallStack {
		if frame.Pos.Filename() == name {
			position = frame.Pos
		}
	}
	return position
}

// lineOf finds where a global is last set.
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
