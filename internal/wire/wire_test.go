package wire

import (
	"math"
	"strings"
	"testing"
)

func submission() map[string]any {
	return map[string]any{
		"Ref": "job-000412", "Lotclass": "train", "Desk": "vision", "Genre": "array", "Urgency": "high", "Lots": 16,
		"Cpus": 8.0, "Gpus": 1.0, "MemoryGb": 64.0, "Kit": "img-07", "ImageGb": 6.2, "Rigtypes": []string{"g8"}, "Yard": nil,
		"Together": true, "Apart": false, "Loaner": true, "GuessS": 240.0, "BookmarkS": 30.0, "StashS": 4.0, "GavelS": 900.0,
	}
}

func TestDecodeJob(t *testing.T) {
	j, err := DecodeJob(Encode(submission()))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "job-000412" || j.Tasks != 16 || j.CPUs != 8 || j.Types[0] != "g8" || !j.OneZone || j.Zone != "" || j.DeadlineS != 900 {
		t.Fatalf("%+v", j)
	}
	m := submission()
	delete(m, "GavelS")
	delete(m, "Yard")
	m["Rigtypes"] = nil
	m["Unheard"] = []int{1}
	if _, err := DecodeJob(Encode(m)); err != nil {
		t.Fatalf("null or unknown fields: %v", err)
	}
}

func TestMalformedJobsAreRefusedByField(t *testing.T) {
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
	} {
		for _, v := range bad {
			m := submission()
			m[field] = v
			if _, err := DecodeJob(Encode(m)); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %v: %v", field, v, err)
			}
		}
		m := submission()
		delete(m, field)
		_, err := DecodeJob(Encode(m))
		if optional := field == "Rigtypes" || field == "Yard" || field == "GavelS"; (err == nil) != optional {
			t.Errorf("without %s: %v", field, err)
		}
	}
	whole := Encode(submission())
	for name, b := range map[string][]byte{
		"empty": nil, "cut short": whole[:len(whole)-3], "trailing": append(append([]byte{}, whole...), 0xc0),
		"list": Encode([]int{1}), "null": {0xc0}, "text": Encode("job"), "json": []byte(`{"Ref":"job-1"}`), "huge map": {0xdf, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := DecodeJob(b); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func TestTaskNames(t *testing.T) {
	if ref, i, err := ParseTask(TaskName("job-7", 31)); ref != "job-7" || i != 31 || err != nil {
		t.Fatal(ref, i, err)
	}
	for _, bad := range []string{"", "job-7", "job-7/", "job-7/x", "job-7/-1", "job-7/01", "job-7/100000", "x/1"} {
		if _, _, err := ParseTask(bad); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

func TestTaskSet(t *testing.T) {
	var s TaskSet
	for _, i := range []int{0, 9, 16383, 9} {
		s.Add(i)
	}
	back, err := ParseTaskSet(s.Text())
	if err != nil || back.Len() != 3 || !back.Has(16383) || back.Has(1) {
		t.Fatal(err, back.Len())
	}
	if n := len(s.Text()); n > 3*1024 {
		t.Fatalf("a full block takes %d bytes", n)
	}
}

// Decoders of anything from outside must refuse, not crash.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(submission()))
	f.Add(Encode(Report{Machine: "n-1", Session: 1, Tasks: []TaskReport{{Task: "job-1/0", Attempt: 2, State: "running"}}}))
	f.Add(Encode(Events{Revision: 3, Events: []Event{{Put: "c/x", Value: Encode(NodeRecord{Boot: "b"}), Version: 3}}}))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if j, err := DecodeJob(b); err == nil && (!ValidJobID(j.ID) || j.Tasks < 1 || j.CPUs < 0 || math.IsNaN(j.CPUs)) {
			t.Fatalf("taken: %+v", j)
		}
		var r Report
		if Decode(b, &r) == nil {
			for _, x := range r.Tasks {
				ParseTask(x.Task)
			}
		}
		var e Events
		if Decode(b, &e) == nil {
			for _, x := range e.Events {
				var rec JobRecord
				_ = Decode(x.Value, &rec)
			}
		}
	})
}

// A report is read field by field: it must take what the protocol allows and
// refuse the rest.
func TestDecodeReport(t *testing.T) {
	m := map[string]any{
		"Rig": "n-000231", "Addr": "10.1.0.232:9000", "Rigtype": "g8", "Yard": "a", "Loaner": true,
		"Shift": 1, "Tally": 88, "Baton": uint64(3) << 40, "RecallS": 13, "Unheard": []any{1, "x"},
		"Lots": []map[string]any{
			{"Lot": "job-000412/3", "Try": 2, "Status": "running", "Cause": nil},
			{"Lot": "job-000398/0", "Try": 1, "Status": "ended", "Cause": "halted", "Stored": true, "Later": 1.5},
		},
	}
	var r Report
	if err := Decode(Encode(m), &r); err != nil {
		t.Fatal(err)
	}
	if r.Machine != "n-000231" || !r.Spot || r.Seq != 88 || r.Token != 3<<40 || r.NoticeS == nil || *r.NoticeS != 13 ||
		len(r.Tasks) != 2 || r.Tasks[0].State != TaskRunning || r.Tasks[1].Why != WhyStopped || !r.Tasks[1].Saved {
		t.Fatalf("%+v", r)
	}
	delete(m, "Lots")
	m["RecallS"] = nil
	if err := Decode(Encode(m), &r); err != nil || r.NoticeS != nil || r.Tasks != nil {
		t.Fatalf("%v %+v", err, r)
	}
	for field, bad := range map[string]any{"Rig": 1, "Shift": "1", "Tally": -1, "Lots": "none", "Loaner": 1} {
		m := map[string]any{"Rig": "n-1", field: bad}
		if err := Decode(Encode(m), &r); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s = %v: %v", field, bad, err)
		}
	}
	if err := Decode(Encode([]any{m}), &r); err == nil {
		t.Error("a list is no report")
	}
}
