package protocol_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// decoder reads the bytes of a message and returns a pointer to its value.
type decoder func(b []byte) (any, error)

// msgpackOf decodes what goes over HTTP or into the state service.
func msgpackOf[T any](b []byte) (any, error) {
	v := new(T)
	return v, protocol.Decode(b, v)
}

// jsonOf decodes a line of the peer link, with the library that the link uses.
func jsonOf[T any](b []byte) (any, error) {
	v := new(T)
	return v, json.Unmarshal(b, v)
}

// submissionOf decodes a submission as the API does.
func submissionOf(b []byte) (any, error) {
	j, err := protocol.DecodeJob(b)
	return &j, err
}

// goldenTypes is the one place that says which Go type reads which message. A type that
// is renamed or moved is changed here; the names on the left are those of the files.
var goldenTypes = map[string]decoder{
	"user-submission":   submissionOf,
	"user-job":          msgpackOf[protocol.Job],
	"user-job-answer":   msgpackOf[protocol.JobResponse],
	"user-error-answer": msgpackOf[protocol.ErrorResponse],

	"depot-description": msgpackOf[protocol.JobDescription],
	"depot-kept-result": msgpackOf[protocol.ResultStatus],
	"depot-jobs":        msgpackOf[protocol.UploadedJobs],
	"depot-job":         msgpackOf[protocol.UploadedJob],
	"depot-outputs":     msgpackOf[protocol.OutputList],
	"depot-output":      msgpackOf[protocol.OutputFile],

	"worker-report":         msgpackOf[protocol.Heartbeat],
	"worker-task-report":    msgpackOf[protocol.TaskStatus],
	"worker-report-answer":  msgpackOf[protocol.HeartbeatResponse],
	"worker-redirect":       msgpackOf[protocol.Redirect],
	"worker-report-outcome": msgpackOf[protocol.HeartbeatReply],
	"worker-command":        msgpackOf[protocol.Command],
	"worker-do":             msgpackOf[protocol.DirectCommands],

	"cloud-machine-type":  msgpackOf[protocol.MachineType],
	"cloud-machine-types": msgpackOf[protocol.MachineTypes],
	"cloud-hire":          msgpackOf[protocol.CreateMachinesRequest],
	"cloud-names":         msgpackOf[protocol.MachineNames],
	"cloud-machine":       msgpackOf[protocol.Instance],
	"cloud-machine-list":  msgpackOf[protocol.InstanceList],

	"state-item":               msgpackOf[protocol.KeyValue],
	"state-items":              msgpackOf[protocol.KeyPage],
	"state-guard":              msgpackOf[protocol.Guard],
	"state-op":                 msgpackOf[protocol.Operation],
	"state-transaction":        msgpackOf[protocol.Transaction],
	"state-transaction-answer": msgpackOf[protocol.TransactionResult],
	"state-lease-request":      msgpackOf[protocol.LeaseRequest],
	"state-lease-answer":       msgpackOf[protocol.LeaseResponse],
	"state-event":              msgpackOf[protocol.WatchEvent],
	"state-events":             msgpackOf[protocol.WatchResponse],

	"record-job":      msgpackOf[records.Job],
	"record-piece":    msgpackOf[records.Chunk],
	"record-lot":      msgpackOf[records.AdmissionBatch],
	"record-progress": msgpackOf[records.Progress],
	"record-node":     msgpackOf[records.Node],
	"record-leader":   msgpackOf[records.Leader],
	"record-map":      msgpackOf[records.ShardMap],
	"record-machines": msgpackOf[records.RegistryPage],
	"record-machine":  msgpackOf[records.Machine],
	"record-estimate": msgpackOf[records.Estimates],
	"record-mean":     msgpackOf[records.Mean],

	"peer-message":       jsonOf[peerproto.Message],
	"peer-hello":         jsonOf[peerproto.Hello],
	"peer-task-try":      jsonOf[peerproto.TaskAttempt],
	"peer-task-stop":     jsonOf[peerproto.StopTask],
	"peer-machine-state": jsonOf[peerproto.MachineState],
	"peer-task-state":    jsonOf[peerproto.TaskState],
	"peer-job-view":      jsonOf[peerproto.JobView],
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

// TestGoldenBytesRoundTrip pins every message and stored record: bytes that earlier versions made
// are read, and written again as the same bytes. There is a file of each with every field
// set, lists of two and maps of one entry, and one, "-zero", with none set, which shows what
// is left out. A program built at each commit filled the fields by reflection. Fields that
// production did not know are left out when they are not set, so its bytes stay the same.
func TestGoldenBytesRoundTrip(t *testing.T) {
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
		return protocol.Encode(value)
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

// TestDecodeJobMatchesStructTagDecoding compares the strict reading of submissions, field by field, with
// that by struct tags, which TestGoldenBytes pins.
func TestDecodeJobMatchesStructTagDecoding(t *testing.T) {
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

// TestProtocolConstantsAreUnchanged pins the words that stand in messages and stored records.
func TestProtocolConstantsAreUnchanged(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"kinds of job", internedStrings(protocol.KindArray, protocol.KindGang, protocol.KindService), "array ensemble daemon"},
		{"urgencies", internedStrings(protocol.UrgencyProduction, protocol.UrgencyHigh, protocol.UrgencyNormal, protocol.UrgencyLow), "prod high standard idle"},
		{"states of a job", internedStrings(protocol.JobQueued, protocol.JobRunning, protocol.JobDone, protocol.JobCancelled), "queued running done aborted"},
		{"states of a task", internedStrings(protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited, peerproto.StateHeld),
			"fetching waiting running saving ended held"},
		{"causes", internedStrings(protocol.ExitDone, protocol.ExitStopped, protocol.ExitFailed, protocol.ExitNoCapacity, protocol.ExitDuplicate, protocol.ExitUnknownTask, protocol.ExitGangPeerLost, protocol.ExitGangIncomplete),
			"done halted error no_room busy no_such peers incomplete"},
		{"commands", internedStrings(protocol.CommandStart, protocol.CommandStop, protocol.CommandForget), "start kill clear"},
		{"states of a machine", internedStrings(protocol.MachineBooting, protocol.MachineRunning, protocol.MachineFailed), "booting running failed"},
		{"content type", protocol.ContentType, "application/msgpack"},
		{"name of a task", protocol.TaskName("job-7", 31), "job-7/31"},
		{"set of tasks", records.TaskSet{3, 1}.Text(), "AwE"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, and was %q", c.name, c.got, c.want)
		}
	}
}

func internedStrings(w ...string) string { return strings.Join(w, " ") }
