package protocol_test

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

func submission() map[string]any {
	return map[string]any{
		"Ref": "job-000412", "Lotclass": "train", "Desk": "vision", "Genre": "array", "Urgency": "high", "Lots": 16,
		"Cpus": 8.0, "Gpus": 1.0, "MemoryGb": 64.0, "Kit": "img-07", "ImageGb": 6.2, "Rigtypes": []string{"g8"}, "Yard": nil,
		"Together": true, "Apart": false, "Loaner": true, "GuessS": 240.0, "BookmarkS": 30.0, "StashS": 4.0, "GavelS": 900.0,
	}
}

func TestDecodeJobAcceptsValidSubmissions(t *testing.T) {
	j, err := protocol.DecodeJob(protocol.Encode(submission()))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "job-000412" || j.Tasks != 16 || j.CPUs != 8 || j.MachineTypes[0] != "g8" || !j.OneZone || j.Zone != "" || j.DeadlineS != 900 {
		t.Fatalf("submission decoded to other values: %+v", j)
	}
	m := submission()
	delete(m, "GavelS")
	delete(m, "Yard")
	m["Rigtypes"] = nil
	m["Unheard"] = []int{1}
	if _, err := protocol.DecodeJob(protocol.Encode(m)); err != nil {
		t.Fatalf("submission with null, missing and unknown fields rejected: %v", err)
	}
}

func TestDecodeJobRejectsMalformedSubmissions(t *testing.T) {
	for field, bad := range map[string][]any{
		"Ref":       {nil, "", 7, "job-", "job-1x", "run-1", "job-1/2"},
		"Genre":     {"gang", 1},
		"Urgency":   {"urgent", nil},
		"Lots":      {0, -1, 1.5, 100001, "3", nil},
		"Cpus":      {-1.0, math.NaN(), math.Inf(1), "8", nil},
		"Rigtypes":  {"g8", []any{1}, []any{}},
		"Yard":      {1, ""},
		"Together":  {nil, 1, "true"},
		"GuessS":    {nil, -0.5},
		"GavelS":    {"soon", -1},
		"BookmarkS": {nil, math.Inf(-1)},
		"Awaits":    {"job-1", []any{1}, []any{"job-1", "run-2"}, 7},
	} {
		for _, v := range bad {
			m := submission()
			m[field] = v
			if _, err := protocol.DecodeJob(protocol.Encode(m)); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %v: got error %v, want one that names the field", field, v, err)
			}
		}
		m := submission()
		delete(m, field)
		_, err := protocol.DecodeJob(protocol.Encode(m))
		if optional := field == "Rigtypes" || field == "Yard" || field == "GavelS" || field == "Awaits"; (err == nil) != optional {
			t.Errorf("submission without %s: got error %v, want one only if the field is required", field, err)
		}
	}
	valid := protocol.Encode(submission())
	for name, b := range map[string][]byte{
		"empty": nil, "truncated": valid[:len(valid)-3], "trailing": append(append([]byte{}, valid...), 0xc0),
		"list": protocol.Encode([]int{1}), "null": {0xc0}, "text": protocol.Encode("job"), "json": []byte(`{"Ref":"job-1"}`), "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := protocol.DecodeJob(b); err == nil {
			t.Errorf("malformed submission accepted: %s", name)
		}
	}
}

func TestParseTaskNameRejectsMalformedNames(t *testing.T) {
	if job, i, err := protocol.ParseTaskName(protocol.TaskName("job-7", 31)); job != "job-7" || i != 31 || err != nil {
		t.Fatal(job, i, err)
	}
	for _, bad := range []string{"", "job-7", "job-7/", "job-7/x", "job-7/-1", "job-7/01", "job-7/100000", "x/1"} {
		if _, _, err := protocol.ParseTaskName(bad); err == nil {
			t.Errorf("malformed task name %q accepted", bad)
		}
	}
}

func TestTaskSetRoundTripsInCompactForm(t *testing.T) {
	var s records.TaskSet
	for _, i := range []int{0, 9, 16383, 9} {
		s.Add(i)
	}
	parsed, err := records.ParseTaskSet(s.Text())
	if err != nil || parsed.Len() != 3 || !parsed.Has(16383) || parsed.Has(1) {
		t.Fatal(err, parsed.Len())
	}
	if n := len(s.Text()); n > 3*1024 {
		t.Fatalf("text of a set with task 16383 has %d bytes, want at most 3072", n)
	}
}

// Decoders of untrusted input must return an error for malformed input and must not panic.
func FuzzDecode(f *testing.F) {
	f.Add(protocol.Encode(submission()))
	f.Add(protocol.Encode(protocol.Heartbeat{Machine: "n-1", Session: 1, Tasks: []protocol.TaskStatus{{Task: "job-1/0", Attempt: 2, State: "running"}}}))
	f.Add(protocol.Encode(protocol.WatchResponse{Revision: 3, Events: []protocol.WatchEvent{{Put: "c/x", Value: protocol.Encode(records.Node{BootID: "b"}), Version: 3}}}))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if j, err := protocol.DecodeJob(b); err == nil && (!protocol.ValidJobID(j.ID) || j.Tasks < 1 || j.CPUs < 0 || math.IsNaN(j.CPUs)) {
			t.Fatalf("invalid job accepted: %+v", j)
		}
		var r protocol.Heartbeat
		if protocol.Decode(b, &r) == nil {
			for _, task := range r.Tasks {
				_, _, _ = protocol.ParseTaskName(task.Task) // must not panic
			}
		}
		var e protocol.WatchResponse
		if protocol.Decode(b, &e) == nil {
			for _, event := range e.Events {
				var rec records.Job
				_ = protocol.Decode(event.Value, &rec)
			}
		}
	})
}

// Heartbeats are decoded field by field, by hand-written code. It must accept what the protocol allows,
// such as unknown, null and missing fields, and reject fields of a wrong type.
func TestDecodeHeartbeatAcceptsValidAndRejectsMalformedFields(t *testing.T) {
	m := map[string]any{
		"Rig": "n-000231", "Addr": "10.1.0.232:9000", "Rigtype": "g8", "Yard": "a", "Loaner": true,
		"Shift": 1, "Tally": 88, "Baton": uint64(3) << 40, "RecallS": 13, "Unheard": []any{1, "x"},
		"Lots": []map[string]any{
			{"Lot": "job-000412/3", "Try": 2, "Status": "running", "Cause": nil},
			{"Lot": "job-000398/0", "Try": 1, "Status": "ended", "Cause": "halted", "Stored": true, "Later": 1.5},
		},
	}
	var r protocol.Heartbeat
	if err := protocol.Decode(protocol.Encode(m), &r); err != nil {
		t.Fatal(err)
	}
	if r.Machine != "n-000231" || !r.Spot || r.Seq != 88 || r.Token != 3<<40 || r.NoticeS == nil || *r.NoticeS != 13 ||
		len(r.Tasks) != 2 || r.Tasks[0].State != protocol.TaskRunning || r.Tasks[1].ExitReason != protocol.ExitStopped || !r.Tasks[1].Saved {
		t.Fatalf("heartbeat decoded to other values: %+v", r)
	}
	delete(m, "Lots")
	m["RecallS"] = nil
	if err := protocol.Decode(protocol.Encode(m), &r); err != nil || r.NoticeS != nil || r.Tasks != nil {
		t.Fatalf("heartbeat without tasks and preemption notice: error %v, decoded to %+v", err, r)
	}
	for field, bad := range map[string]any{"Rig": 1, "Shift": "1", "Tally": -1, "Lots": "none", "Loaner": 1} {
		m := map[string]any{"Rig": "n-1", field: bad}
		if err := protocol.Decode(protocol.Encode(m), &r); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s = %v: got error %v, want one that names the field", field, bad, err)
		}
	}
	if err := protocol.Decode(protocol.Encode([]any{m}), &r); err == nil {
		t.Error("list accepted as a heartbeat")
	}
}

// A null list of dependencies means the same as an empty one, and duplicates are dropped.
func TestDependenciesAreOptionalAndDeduplicated(t *testing.T) {
	for _, c := range []struct {
		value any
		want  int
	}{{nil, 0}, {[]any{}, 0}, {[]any{"job-1", "job-2", "job-1"}, 2}} {
		m := submission()
		m["Awaits"] = c.value
		if j, err := protocol.DecodeJob(protocol.Encode(m)); err != nil || len(j.Dependencies) != c.want {
			t.Errorf("dependencies %v: got %v, error %v", c.value, j.Dependencies, err)
		}
	}
}

// Records that production (deploy/service.toml) has stored are decoded to the expected values, and
// these are encoded to the same bytes again.
func TestProductionRecordsRoundTrip(t *testing.T) {
	for encoded, roundTrip := range map[string]func(b []byte) bool{
		// jobs
		"85a473706563de0011a3526566a56a6f622d31a84c6f74636c617373a163a44465736ba174a547656e7265a56172726179a7557267656e6379a469646c65a44c6f7473" +
			"02a443707573cb3ff8000000000000a84d656d6f72794762cb3ff199999999999aa34b6974a16ba7496d6167654762cb3fe0000000000000a8526967747970657391a1" +
			"62a459617264a17aa8546f676574686572c3a6477565737353cb4022000000000000a9426f6f6b6d61726b53cb4008000000000000a6537461736853cb3ff000000000" +
			"0000a6476176656c53cb404e000000000000a57374617465a6717565756564a26174cb3ff8000000000000a57a6f6e657391a17aa3776879a177": roundTrips(records.Job{
			Spec: protocol.Job{ID: "job-1", Class: "c", Team: "t", Kind: "array", Urgency: "idle", Tasks: 2, CPUs: 1.5, MemoryGB: 1.1, Image: "k", ImageGB: 0.5,
				MachineTypes: []string{"b"}, Zone: "z", OneZone: true, EstimateS: 9, CheckpointS: 3, SaveS: 1, DeadlineS: 60},
			State: "queued", SubmittedAt: 1.5, Zones: []string{"z"}, StopReason: "w"}),
		"81a46a6f62739183a4737065638ba3526566a56a6f622d31a84c6f74636c617373a0a44465736ba0a547656e7265a0a7557267656e6379a0a44c6f747300a443707573" +
			"cb0000000000000000a84d656d6f72794762cb0000000000000000a34b6974a0a7496d6167654762cb0000000000000000a6477565737353cb0000000000000000a573" +
			"74617465a6717565756564a26174cb0000000000000000": roundTrips(records.AdmissionBatch{Jobs: []records.Job{{Spec: protocol.Job{ID: "job-1"}, State: "queued"}}}),
		"81a462697473a3417745": roundTrips(records.Progress{Bits: records.TaskSet{3, 1}.Text()}),
		// controllers, leader and shard map
		"81a4626f6f74a26131":                                                 roundTrips(records.Node{BootID: "a1"}),
		"82a56c6162656ca27231a4626f6f74a26231":                               roundTrips(records.Leader{Label: "r1", BootID: "b1"}),
		"83a565706f636807a66c6561646572a27231a76d656d6265727381a27231a26231": roundTrips(records.ShardMap{Epoch: 7, Leader: "r1", Members: map[string]string{"r1": "b1"}}),
		// machine registry, estimates and machine types
		"81a86d616368696e657381a36e2d3184a461646472a3613a31a474797065a162a47a6f6e65a17aa473706f74c3": roundTrips(records.RegistryPage{
			Machines: map[string]records.Machine{"n-1": {Addr: "a:1", Type: "b", Zone: "z", Spot: true}}}),
		"81a56d65616e739187a47465616da174a5636c617373a163a463707573cb3ff8000000000000a467707573cb0000000000000000a46d65616ecb4041900000000000a1" +
			"6ecb4069000000000000a46c617374cb3ff8000000000000": roundTrips(records.Estimates{Means: []records.Mean{{Team: "t", Class: "c", CPUs: 1.5, Mean: 35.125, Count: 200, LastAt: 1.5}}}),
		"82a85269677479706573918aa54c6162656ca162a443707573cb4010000000000000a447707573cb0000000000000000a84d656d6f72794762cb0000000000000000a7" +
			"43616368654762cb0000000000000000ab4665746368476250657253cb0000000000000000a6486f75726c79cb0000000000000000a84c6f775072696365cb00000000" +
			"00000000a85374617274757053cb0000000000000000a5596172647391a17aa5746f74616c01": roundTrips(protocol.MachineTypes{Types: []protocol.MachineType{{Name: "b", CPUs: 4, Zones: []string{"z"}}}, Total: 1}),
	} {
		b, err := hex.DecodeString(encoded)
		if err != nil || !roundTrip(b) {
			t.Errorf("record %s does not round-trip, or is not valid hex: %v", encoded, err)
		}
	}
}

// roundTrips returns a function that reports whether b is decoded to want and encoded to the same bytes
// again.
func roundTrips[T any](want T) func(b []byte) bool {
	return func(b []byte) bool {
		var v T
		return protocol.Decode(b, &v) == nil && reflect.DeepEqual(v, want) && bytes.Equal(protocol.Encode(v), b)
	}
}

// JSONSize is never less than the size of a value's JSON, and not much greater. If it were less, the
// state service would reject values as too large.
func TestJSONSizeIsATightUpperBound(t *testing.T) {
	for _, v := range []any{submission(), records.Job{Spec: protocol.Job{ID: "job-1", CPUs: 0.1, Dependencies: []string{"job-2", "job-3"}}, SubmittedAt: 1.7e9 + 0.123},
		records.RegistryPage{Machines: map[string]records.Machine{"n-1": {Addr: "10.0.0.1:9000", Type: "a \"b\" <c>", Zone: "ü"}}},
		records.Estimates{Means: []records.Mean{{Team: "t", Class: "c", Mean: 35.12, Count: 200, LastAt: 1764632452}}}} {
		var plain any
		if err := protocol.Decode(protocol.Encode(v), &plain); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(plain)
		if n := protocol.JSONSize(v); err != nil || n < len(b) || n > len(b)*5/4+16 {
			t.Errorf("JSONSize = %d for %d bytes of JSON %s: %v", n, len(b), b, err)
		}
	}
}
