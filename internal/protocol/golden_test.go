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

// decoder decodes a message and returns a pointer to its value.
type decoder func(b []byte) (any, error)

// decodeMsgpack decodes a message that is sent over HTTP or a record that is kept in the state service.
func decodeMsgpack[T any](b []byte) (any, error) {
	v := new(T)
	return v, protocol.Decode(b, v)
}

// decodeJSON decodes a message of the link between peers, with the library that the link uses.
func decodeJSON[T any](b []byte) (any, error) {
	v := new(T)
	return v, json.Unmarshal(b, v)
}

// decodeSubmission decodes a submission with the strict decoder that the API uses.
func decodeSubmission(b []byte) (any, error) {
	j, err := protocol.DecodeJob(b)
	return &j, err
}

// goldenTypes maps the name of each golden file to the decoder of its Go type. If a type is renamed
// or moved, only its entry here changes; the names of the files stay.
var goldenTypes = map[string]decoder{
	"user-submission":   decodeSubmission,
	"user-job":          decodeMsgpack[protocol.Job],
	"user-job-answer":   decodeMsgpack[protocol.JobResponse],
	"user-error-answer": decodeMsgpack[protocol.ErrorResponse],

	"depot-description": decodeMsgpack[protocol.JobDescription],
	"depot-kept-result": decodeMsgpack[protocol.ResultStatus],
	"depot-jobs":        decodeMsgpack[protocol.UploadedJobs],
	"depot-job":         decodeMsgpack[protocol.UploadedJob],
	"depot-outputs":     decodeMsgpack[protocol.OutputList],
	"depot-output":      decodeMsgpack[protocol.OutputFile],

	"worker-report":         decodeMsgpack[protocol.Heartbeat],
	"worker-task-report":    decodeMsgpack[protocol.TaskStatus],
	"worker-report-answer":  decodeMsgpack[protocol.HeartbeatResponse],
	"worker-redirect":       decodeMsgpack[protocol.Redirect],
	"worker-report-outcome": decodeMsgpack[protocol.HeartbeatReply],
	"worker-command":        decodeMsgpack[protocol.Command],
	"worker-do":             decodeMsgpack[protocol.DirectCommands],

	"cloud-machine-type":  decodeMsgpack[protocol.MachineType],
	"cloud-machine-types": decodeMsgpack[protocol.MachineTypes],
	"cloud-hire":          decodeMsgpack[protocol.CreateMachinesRequest],
	"cloud-names":         decodeMsgpack[protocol.MachineNames],
	"cloud-machine":       decodeMsgpack[protocol.Instance],
	"cloud-machine-list":  decodeMsgpack[protocol.InstanceList],

	"state-item":               decodeMsgpack[protocol.KeyValue],
	"state-items":              decodeMsgpack[protocol.KeyPage],
	"state-guard":              decodeMsgpack[protocol.Guard],
	"state-op":                 decodeMsgpack[protocol.Operation],
	"state-transaction":        decodeMsgpack[protocol.Transaction],
	"state-transaction-answer": decodeMsgpack[protocol.TransactionResult],
	"state-lease-request":      decodeMsgpack[protocol.LeaseRequest],
	"state-lease-answer":       decodeMsgpack[protocol.LeaseResponse],
	"state-event":              decodeMsgpack[protocol.WatchEvent],
	"state-events":             decodeMsgpack[protocol.WatchResponse],

	"record-job":      decodeMsgpack[records.Job],
	"record-piece":    decodeMsgpack[records.Chunk],
	"record-lot":      decodeMsgpack[records.AdmissionBatch],
	"record-progress": decodeMsgpack[records.Progress],
	"record-node":     decodeMsgpack[records.Node],
	"record-leader":   decodeMsgpack[records.Leader],
	"record-map":      decodeMsgpack[records.ShardMap],
	"record-machines": decodeMsgpack[records.RegistryPage],
	"record-machine":  decodeMsgpack[records.Machine],
	"record-estimate": decodeMsgpack[records.Estimates],
	"record-mean":     decodeMsgpack[records.Mean],

	"peer-message":       decodeJSON[peerproto.Message],
	"peer-hello":         decodeJSON[peerproto.Hello],
	"peer-task-try":      decodeJSON[peerproto.TaskAttempt],
	"peer-task-stop":     decodeJSON[peerproto.StopTask],
	"peer-machine-state": decodeJSON[peerproto.MachineState],
	"peer-task-state":    decodeJSON[peerproto.TaskState],
	"peer-job-view":      decodeJSON[peerproto.JobView],
	"peer-word":          decodeJSON[degraded.Vote],
	"peer-ask":           decodeJSON[degraded.Round],
}

// goldenVersions lists the commits whose encoded messages are kept as golden files, and the messages
// that each of them did not have yet. 587869a is the last version before fields and types were renamed,
// and 4eec271 the one that was in production then (deploy/service.toml).
var goldenVersions = map[string][]string{
	"587869a": nil,
	"4eec271": {"record-piece"},
}

// TestGoldenBytesRoundTrip decodes messages and stored records that earlier versions encoded, and
// fails unless they are encoded to the same bytes again. It guards against a change of a field or its
// tag that other processes or stored data would not understand.
//
// Each message has a file with every field set, with two entries in lists and one in maps, and a file
// "-zero" with no field set, which shows which fields are omitted then. A program built at each commit
// filled the fields by reflection. Fields that production did not have are omitted if they are not set,
// so the bytes of its messages stay the same.
func TestGoldenBytesRoundTrip(t *testing.T) {
	for version, unknownNames := range goldenVersions {
		t.Run(version, func(t *testing.T) {
			missing := map[string]bool{}
			for name := range goldenTypes {
				missing[name] = true
			}
			for _, name := range unknownNames {
				delete(missing, name)
			}
			files, err := filepath.Glob(filepath.Join("testdata", "golden", version, "*"))
			if err != nil {
				t.Fatal(err)
			}
			for _, file := range files {
				if strings.Contains(file, flagSubmissionPrefix) {
					continue // see TestDecodeJobMatchesStructTagDecoding
				}
				name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
				t.Run(name, func(t *testing.T) { checkGoldenFile(t, file, strings.TrimSuffix(name, "-zero")) })
				delete(missing, name)
			}
			for name := range missing {
				t.Errorf("no golden file for message %s", name)
			}
		})
	}
}

// checkGoldenFile decodes a file and fails unless the value is encoded to the same bytes, and these
// are decoded to the same value again.
func checkGoldenFile(t *testing.T, file, name string) {
	t.Helper()
	decode, ok := goldenTypes[name]
	if !ok {
		t.Fatalf("goldenTypes has no type for %s", file)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	value, err := decode(want)
	if err != nil {
		t.Fatalf("cannot decode %s: %v", file, err)
	}
	got := encodeAs(t, file, value)
	if !bytes.Equal(got, want) {
		t.Errorf("%s is encoded to other bytes\nwant %q\n got %q", file, want, got)
	}
	again, err := decode(got)
	if err != nil || !reflect.DeepEqual(again, value) {
		t.Errorf("encoded value is decoded to another value: %v\nwant %+v\n got %+v", err, value, again)
	}
}

// encodeAs encodes a value in the format that the file's extension names.
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
	t.Fatalf("%s has an unknown extension", file)
	return nil
}

// flagSubmissionPrefix starts the names of files with submissions as users send them: they have all
// fields, also those that Encode omits from a Job if they are zero, and one of the three flags is set.
const flagSubmissionPrefix = "user-submission-flag-"

// TestDecodeJobMatchesStructTagDecoding compares DecodeJob, which reads a submission field by field, with
// decoding by struct tags, which TestGoldenBytesRoundTrip checks.
func TestDecodeJobMatchesStructTagDecoding(t *testing.T) {
	for version := range goldenVersions {
		files, err := filepath.Glob(filepath.Join("testdata", "golden", version, flagSubmissionPrefix+"*"))
		if err != nil || len(files) != 3 {
			t.Fatalf("%d submission files of version %s, want 3: %v", len(files), version, err)
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
				t.Errorf("%s: %v\nwant %+v\n got %+v", file, err, want, got)
			}
		}
	}
}

// TestProtocolConstantsAreUnchanged guards against a change of the constants that are sent in messages
// and kept in stored records.
func TestProtocolConstantsAreUnchanged(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"kinds of job", joinConstants(protocol.KindArray, protocol.KindGang, protocol.KindService), "array ensemble daemon"},
		{"urgencies", joinConstants(protocol.UrgencyProduction, protocol.UrgencyHigh, protocol.UrgencyNormal, protocol.UrgencyLow), "prod high standard idle"},
		{"states of a job", joinConstants(protocol.JobQueued, protocol.JobRunning, protocol.JobDone, protocol.JobCancelled), "queued running done aborted"},
		{"states of a task", joinConstants(protocol.TaskFetching, protocol.TaskWaiting, protocol.TaskRunning, protocol.TaskSaving, protocol.TaskExited, peerproto.StateHeld),
			"fetching waiting running saving ended held"},
		{"exit reasons", joinConstants(protocol.ExitDone, protocol.ExitStopped, protocol.ExitFailed, protocol.ExitNoCapacity, protocol.ExitDuplicate, protocol.ExitUnknownTask, protocol.ExitGangPeerLost, protocol.ExitGangIncomplete),
			"done halted error no_room busy no_such peers incomplete"},
		{"commands", joinConstants(protocol.CommandStart, protocol.CommandStop, protocol.CommandForget), "start kill clear"},
		{"states of a machine", joinConstants(protocol.MachineBooting, protocol.MachineRunning, protocol.MachineFailed), "booting running failed"},
		{"content type", protocol.ContentType, "application/msgpack"},
		{"name of a task", protocol.TaskName("job-7", 31), "job-7/31"},
		{"set of tasks", records.TaskSet{3, 1}.Text(), "AwE"},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, c.got, c.want)
		}
	}
}

func joinConstants(constants ...string) string { return strings.Join(constants, " ") }
