package wire_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// decoder reads the bytes of a message and returns a pointer to its value.
type decoder func(b []byte) (any, error)

// msgpackOf decodes what goes over HTTP or into the state service.
func msgpackOf[T any](b []byte) (any, error) {
	v := new(T)
	return v, wire.Decode(b, v)
}

// jsonOf decodes a line of the peer link, with the library that the link uses.
func jsonOf[T any](b []byte) (any, error) {
	v := new(T)
	return v, json.Unmarshal(b, v)
}

// submissionOf decodes a submission as the API does.
func submissionOf(b []byte) (any, error) {
	j, err := wire.DecodeJob(b)
	return &j, err
}

// goldenTypes is the one place that says which Go type reads which message. A type that
// is renamed or moved is changed here; the names on the left are those of the files.
var goldenTypes = map[string]decoder{
	"user-submission":   submissionOf,
	"user-job":          msgpackOf[wire.Job],
	"user-job-answer":   msgpackOf[wire.JobAnswer],
	"user-error-answer": msgpackOf[wire.ErrorAnswer],

	"depot-description": msgpackOf[wire.Description],
	"depot-kept-result": msgpackOf[wire.KeptResult],
	"depot-jobs":        msgpackOf[wire.Jobs],
	"depot-job":         msgpackOf[wire.DepotJob],
	"depot-outputs":     msgpackOf[wire.Outputs],
	"depot-output":      msgpackOf[wire.Output],

	"worker-report":         msgpackOf[wire.Report],
	"worker-task-report":    msgpackOf[wire.TaskReport],
	"worker-report-answer":  msgpackOf[wire.ReportAnswer],
	"worker-redirect":       msgpackOf[wire.Redirect],
	"worker-report-outcome": msgpackOf[wire.ReportOutcome],
	"worker-command":        msgpackOf[wire.Command],
	"worker-do":             msgpackOf[wire.Do],

	"cloud-machine-type":  msgpackOf[wire.MachineType],
	"cloud-machine-types": msgpackOf[wire.MachineTypes],
	"cloud-hire":          msgpackOf[wire.Hire],
	"cloud-names":         msgpackOf[wire.Names],
	"cloud-machine":       msgpackOf[wire.Machine],
	"cloud-machine-list":  msgpackOf[wire.MachineList],

	"state-item":               msgpackOf[wire.Item],
	"state-items":              msgpackOf[wire.Items],
	"state-guard":              msgpackOf[wire.Guard],
	"state-op":                 msgpackOf[wire.Op],
	"state-transaction":        msgpackOf[wire.Txn],
	"state-transaction-answer": msgpackOf[wire.TxnAnswer],
	"state-lease-request":      msgpackOf[wire.LeaseRequest],
	"state-lease-answer":       msgpackOf[wire.LeaseAnswer],
	"state-event":              msgpackOf[wire.Event],
	"state-events":             msgpackOf[wire.Events],

	"record-job":      msgpackOf[wire.JobRecord],
	"record-piece":    msgpackOf[wire.PieceRecord],
	"record-lot":      msgpackOf[wire.LotRecord],
	"record-progress": msgpackOf[wire.ProgressRecord],
	"record-node":     msgpackOf[wire.NodeRecord],
	"record-leader":   msgpackOf[wire.LeaderRecord],
	"record-map":      msgpackOf[wire.MapRecord],
	"record-machines": msgpackOf[wire.MachinesRecord],
	"record-machine":  msgpackOf[wire.MachineRecord],
	"record-estimate": msgpackOf[wire.EstimateRecord],
	"record-mean":     msgpackOf[wire.MeanRecord],

	"peer-message":       jsonOf[wire.PeerMessage],
	"peer-hello":         jsonOf[wire.Hello],
	"peer-task-try":      jsonOf[wire.TaskTry],
	"peer-task-stop":     jsonOf[wire.TaskStop],
	"peer-machine-state": jsonOf[wire.MachineState],
	"peer-task-state":    jsonOf[wire.TaskState],
	"peer-job-view":      jsonOf[wire.JobView],
	"peer-word":          jsonOf[degraded.Vote],
	"peer-ask":           jsonOf[degraded.Round],
}

// goldenVersions are the commits whose bytes are kept, and the messages that each did not
// know yet: the version whose names were replaced, and production (deploy/service.toml)
// of that time.
var goldenVersions = map[string][]string{
	"587869a": nil,
	"4eec271": {"record-piece"},
}

// TestGoldenBytes pins every message and stored record: bytes that earlier versions made
// are read, and written again as the same bytes. There is a file of each with every field
// set, lists of two and maps of one entry, and one, "-zero", with none set, which shows what
// is left out. A program built at each commit filled the fields by reflection. Fields that
// production did not know are left out when they are not set, so its bytes stay the same.
func TestGoldenBytes(t *testing.T) {
	for version, unknown := range goldenVersions {
		t.Run(version, func(t *testing.T) {
			missing := map[string]bool{}
			for name := range goldenTypes {
				missing[name] = true
			}
			for _, name := range unknown {
				delete(missing, name)
			}
			files, err := filepath.Glob(filepath.Join("testdata", "golden", version, "*"))
			if err != nil {
				t.Fatal(err)
			}
			for _, file := range files {
				if strings.Contains(file, flagged) {
					continue // TestGoldenSubmissions
				}
				name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
				t.Run(name, func(t *testing.T) { checkGoldenFile(t, file, strings.TrimSuffix(name, "-zero")) })
				delete(missing, name)
			}
			for name := range missing {
				t.Errorf("there are no golden bytes of %s", name)
			}
		})
	}
}

// checkGoldenFile reads a file and fails unless the same bytes are written again, and read
// again as the same value.
func checkGoldenFile(t *testing.T, file, name string) {
	t.Helper()
	decode, ok := goldenTypes[name]
	if !ok {
		t.Fatalf("no type is named for %s", file)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	value, err := decode(want)
	if err != nil {
		t.Fatalf("%s is not read: %v", file, err)
	}
	got := encodeAs(t, file, value)
	if !bytes.Equal(got, want) {
		t.Errorf("%s is written in another way\n was %q\n now %q", file, want, got)
	}
	again, err := decode(got)
	if err != nil || !reflect.DeepEqual(again, value) {
		t.Errorf("what is written is not read as the same: %v\n was %+v\n now %+v", err, value, again)
	}
}

// encodeAs writes a value in the form that the file's name says.
func encodeAs(t *testing.T, file string, value any) []byte {
	t.Helper()
	switch filepath.Ext(file) {
	case ".msgpack":
		return wire.Encode(value)
	case ".json":
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	t.Fatalf("%s has no form that is known", file)
	return nil
}

// flagged is in the names of submissions as users send them: with all fields, those that
// Job leaves out as well, and one of the three flags.
const flagged = "user-submission-flag-"

// TestGoldenSubmissions compares the strict reading of submissions, field by field, with
// that by struct tags, which TestGoldenBytes pins.
func TestGoldenSubmissions(t *testing.T) {
	for version := range goldenVersions {
		files, err := filepath.Glob(filepath.Join("testdata", "golden", version, flagged+"*"))
		if err != nil || len(files) != 3 {
			t.Fatalf("%d files of version %s, %v", len(files), version, err)
		}
		for _, file := range files {
			b, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			want, err := goldenTypes["user-job"](b)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := goldenTypes["user-submission"](b); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %v\n was %+v\n now %+v", file, err, want, got)
			}
		}
	}
}

// TestProtocolWords pins the words that stand in messages and stored records.
func TestProtocolWords(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"kinds of job", words(wire.KindArray, wire.KindGang, wire.KindService), "array ensemble daemon"},
		{"urgencies", words(wire.UrgencyProduction, wire.UrgencyHigh, wire.UrgencyNormal, wire.UrgencyLow), "prod high standard idle"},
		{"states of a job", words(wire.JobQueued, wire.JobRunning, wire.JobDone, wire.JobCancelled), "queued running done aborted"},
		{"states of a task", words(wire.TaskFetching, wire.TaskWaiting, wire.TaskRunning, wire.TaskSaving, wire.TaskExited, wire.StateHeld),
			"fetching waiting running saving ended held"},
		{"causes", words(wire.WhyDone, wire.WhyStopped, wire.WhyError, wire.WhyNoRoom, wire.WhyBusy, wire.WhyUnknown, wire.WhyPeers, wire.WhyAlone),
			"done halted error no_room busy no_such peers incomplete"},
		{"commands", words(wire.OpStart, wire.OpStop, wire.OpForget), "start kill clear"},
		{"states of a machine", words(wire.MachineBooting, wire.MachineRunning, wire.MachineFailed), "booting running failed"},
		{"content type", wire.ContentType, "application/msgpack"},
		{"name of a task", wire.TaskName("job-7", 31), "job-7/31"},
		{"set of tasks", wire.TaskSet{3, 1}.Text(), "AwE"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, and was %q", c.name, c.got, c.want)
		}
	}
}

func words(w ...string) string { return strings.Join(w, " ") }
