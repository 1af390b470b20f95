package protocol

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Kinds of job.
const (
	KindArray   = "array"
	KindGang    = "ensemble"
	KindService = "daemon"
)

// Urgency levels of a job, most urgent first.
const (
	UrgencyProduction = "prod"
	UrgencyHigh       = "high"
	UrgencyNormal     = "standard"
	UrgencyLow        = "idle"
)

// States of a job as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job is a job as its user submits it. CPUs, GPUs and MemoryGB are those of one task. Durations are
// in seconds.
type Job struct {
	ID           string   `msgpack:"Ref"`
	Class        string   `msgpack:"Lotclass"`
	Team         string   `msgpack:"Desk"`
	Kind         string   `msgpack:"Genre"`
	Urgency      string   `msgpack:"Urgency"`
	Tasks        int      `msgpack:"Lots"`
	CPUs         float64  `msgpack:"Cpus"`
	GPUs         float64  `msgpack:"Gpus,omitempty"`
	MemoryGB     float64  `msgpack:"MemoryGb"`
	Image        string   `msgpack:"Kit"`
	ImageGB      float64  `msgpack:"ImageGb"`
	MachineTypes []string `msgpack:"Rigtypes,omitempty"`
	Zone         string   `msgpack:"Yard,omitempty"`
	OneZone      bool     `msgpack:"Together,omitempty"` // all tasks must run in the same zone
	Spread       bool     `msgpack:"Apart,omitempty"`    // at most half of the tasks, rounded up, may be in one zone at a time
	AllowSpot    bool     `msgpack:"Loaner,omitempty"`
	EstimateS    float64  `msgpack:"GuessS"`              // the user's estimate of a task's run time
	CheckpointS  float64  `msgpack:"BookmarkS,omitempty"` // interval between checkpoints; 0: none
	SaveS        float64  `msgpack:"StashS,omitempty"`    // time that a task needs to save a checkpoint
	DeadlineS    float64  `msgpack:"GavelS,omitempty"`    // deadline, counted from the submission; 0: none
	Dependencies []string `msgpack:"Awaits,omitempty"`    // ids of the jobs that must be done before any task of this job starts
}

// JobResponse describes the state of a job in a controller's response to a user. Done and Running
// count tasks, and Reason says why tasks wait or were stopped.
type JobResponse struct {
	ID      string `msgpack:"Ref"`
	State   string `msgpack:"Status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	Reason  string `msgpack:"Reason,omitempty"`
}

// ErrorResponse is the response body of a rejected request.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}

// ValidJobID reports whether s has the form of a job id: "job-" and 1 to 18 digits.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "job-")
	if !ok || digits == "" || len(digits) > 18 {
		return false
	}
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// DecodeJob decodes a submission strictly: every field must be present and have its type, except
// those that may be null or missing. Unknown fields are ignored. Errors name the field by its name in
// the protocol, and their text is sent to the user.
func DecodeJob(b []byte) (Job, error) {
	var m map[string]any
	if err := Decode(b, &m); err != nil {
		return Job{}, fmt.Errorf("body: %w", err)
	}
	if m == nil {
		return Job{}, errors.New("body: not a map")
	}
	f := submissionFields{values: m}
	j := Job{
		ID:           f.text("Ref"),
		Class:        f.text("Lotclass"),
		Team:         f.text("Desk"),
		Kind:         f.oneOf("Genre", KindArray, KindGang, KindService),
		Urgency:      f.oneOf("Urgency", UrgencyProduction, UrgencyHigh, UrgencyNormal, UrgencyLow),
		Tasks:        f.count("Lots"),
		CPUs:         f.amount("Cpus"),
		GPUs:         f.amount("Gpus"),
		MemoryGB:     f.amount("MemoryGb"),
		Image:        f.text("Kit"),
		ImageGB:      f.amount("ImageGb"),
		MachineTypes: f.texts("Rigtypes"),
		Zone:         f.optionalText("Yard"),
		OneZone:      f.flag("Together"),
		Spread:       f.flag("Apart"),
		AllowSpot:    f.flag("Loaner"),
		EstimateS:    f.amount("GuessS"),
		CheckpointS:  f.amount("BookmarkS"),
		SaveS:        f.amount("StashS"),
		DeadlineS:    f.optionalAmount("GavelS"),
		Dependencies: f.jobIDs("Awaits"),
	}
	if f.err == nil && !ValidJobID(j.ID) {
		f.fail("Ref", "is not a job id")
	}
	if f.err == nil && (j.Tasks < 1 || j.Tasks > MaxTasks) {
		f.fail("Lots", fmt.Sprintf("must be from 1 to %d", MaxTasks))
	}
	return j, f.err
}

// submissionFields reads typed fields from a decoded submission. It records the first error only.
type submissionFields struct {
	values map[string]any
	err    error
}

func (f *submissionFields) fail(name, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s %s", name, problem)
	}
}

func (f *submissionFields) get(name string) any {
	v, ok := f.values[name]
	if !ok || v == nil {
		f.fail(name, "is missing")
	}
	return v
}

func (f *submissionFields) text(name string) string {
	s, ok := f.get(name).(string)
	if !ok || s == "" || len(s) > 200 {
		f.fail(name, "must be a text of 1 to 200 bytes")
	}
	return s
}

func (f *submissionFields) optionalText(name string) string {
	if f.values[name] == nil {
		return ""
	}
	return f.text(name)
}

func (f *submissionFields) oneOf(name string, allowed ...string) string {
	s := f.text(name)
	for _, a := range allowed {
		if s == a {
			return s
		}
	}
	f.fail(name, "has an unknown value")
	return s
}

func (f *submissionFields) flag(name string) bool {
	b, ok := f.get(name).(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return b
}

func (f *submissionFields) amount(name string) float64 {
	x, ok := toNumber(f.get(name))
	if !ok || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		f.fail(name, "must be a finite number, not negative")
		return 0
	}
	return x
}

func (f *submissionFields) optionalAmount(name string) float64 {
	if f.values[name] == nil {
		return 0
	}
	return f.amount(name)
}

func (f *submissionFields) count(name string) int {
	v := f.get(name)
	x, ok := toNumber(v)
	switch v.(type) {
	case float32, float64:
		ok = false
	}
	if !ok || x < 0 || x > 1<<53 {
		f.fail(name, "must be a whole number, not negative")
		return 0
	}
	return int(x)
}

func (f *submissionFields) texts(name string) []string {
	v := f.values[name]
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok || len(list) == 0 {
		f.fail(name, "must be null or a list of texts")
		return nil
	}
	out := make([]string, 0, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok || s == "" {
			f.fail(name, "must be null or a list of texts")
			return nil
		}
		out = append(out, s)
	}
	return out
}

// jobIDs reads a list of job ids, which may be missing, null or empty. Duplicates are dropped.
func (f *submissionFields) jobIDs(name string) []string {
	v := f.values[name]
	if v == nil {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		f.fail(name, "must be null or a list of job ids")
		return nil
	}
	var out []string
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		s, ok := e.(string)
		if !ok || !ValidJobID(s) {
			f.fail(name, "must be null or a list of job ids")
			return nil
		}
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

func toNumber(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case float32:
		return float64(x), true
	case int8:
		return float64(x), true
	case int16:
		return float64(x), true
	case int32:
		return float64(x), true
	case int64:
		return float64(x), true
	case uint8:
		return float64(x), true
	case uint16:
		return float64(x), true
	case uint32:
		return float64(x), true
	case uint64:
		return float64(x), true
	}
	return 0, false
}

// JobDefaults returns the values of the fields that Encode omits from a Job if they are zero.
// A submission must contain these fields, except those whose value here is nil.
func JobDefaults() map[string]any {
	return map[string]any{
		"Gpus": 0.0, "Rigtypes": nil, "Yard": nil, "Together": false, "Apart": false, "Loaner": false,
		"BookmarkS": 0.0, "StashS": 0.0, "GavelS": nil, "Awaits": nil,
	}
}
