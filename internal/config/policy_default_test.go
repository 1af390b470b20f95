package config

import (
	"fmt"
	"testing"
)

// What happens without the mend: a script that sets any variable but preempt_for_guarantee switches
// that on, although its documented default is off: ParsePolicy read the flag as a number that
// began with 1, and not with the default.
//
// A script that sets nothing, or one variable to its default, gives the default policy.
func TestUnsetPolicyVariablesKeepTheirDefaults(t *testing.T) {
	scripts := map[string]string{"empty": "", "a helper only": "_x = 1\n"}
	for name, value := range map[string]any{
		"aging_leases": 10, "history_tasks": 200, "quarantine_jobs": 2, "progress_share": 0.4, "spot_share": 1,
		"idle_boots": 0.5, "horizon_share": 0.15, "soon_boots": 1, "rush_boots": 4, "preempt_reports": 4,
		"preempt_for_guarantee": 0, "boot_patience": 3, "floor_share": 0.55, "floor_leases": 5, "begin_s": 240,
	} { // as docs/operations.md has them
		scripts[name] = fmt.Sprintf("%s = %v\n", name, value)
	}
	policy := DefaultPolicy()
	for name := range policy.variables() {
		if _, listed := scripts[name]; !listed {
			t.Errorf("%s: its default is not listed here", name)
		}
	}
	for name, script := range scripts {
		got, err := ParsePolicy("policy.star", []byte(script))
		if err != nil || got != DefaultPolicy() {
			t.Errorf("%s: %v\n%+v, want\n%+v", name, err, got, DefaultPolicy())
		}
	}
}

// The flag and the whole number, which are read as numbers, keep what the script says.
func TestFlagAndWholeNumberTakeTheScriptsValue(t *testing.T) {
	for script, want := range map[string]struct {
		preempt bool
		jobs    int
	}{
		"preempt_for_guarantee = 1\n":                            {true, DefaultPolicy().QuarantineJobs},
		"preempt_for_guarantee = 0\n":                            {false, DefaultPolicy().QuarantineJobs},
		"quarantine_jobs = 7\n":                                  {DefaultPolicy().PreemptForGuarantee, 7},
		"preempt_for_guarantee = 1\nquarantine_jobs = 3\n":       {true, 3},
		"preempt_for_guarantee = 1\npreempt_for_guarantee = 0\n": {false, DefaultPolicy().QuarantineJobs},
	} {
		got, err := ParsePolicy("policy.star", []byte(script))
		if err != nil || got.PreemptForGuarantee != want.preempt || got.QuarantineJobs != want.jobs {
			t.Errorf("%q: %v, preempt %v, quarantine %d; want %+v", script, err, got.PreemptForGuarantee, got.QuarantineJobs, want)
		}
	}
}
