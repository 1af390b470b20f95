package regress

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

func entry(id, at, args, score, days string) string {
	return `{"id":"` + id + `","at":["2026-01-0` + at + `T10:00:00Z","2026-01-01T10:01:00Z"],"cmd":"score","argv":[` + args +
		`],"site":"harbour","ok":true,"error":null,"score":` + score + `,"days":[` + days + `]}`
}

func day(name, score, rules, fault string) string {
	return `{"name":"` + name + `","score":` + score + `,"rules":{` + rules + `},"fault":` + fault + `,"restarts":0.0}`
}

func served(groups string) string {
	return strings.TrimSuffix(day("calm", "0.8", "", "null"), "}") + `,"served":[` + groups + `]}`
}

// A measured entry is compared with the newest earlier one of its kind: quick runs with quick runs,
// others with others. A drop of the score, a broken rule, a failed day, a served share that is too
// small, and a run without days are reported.
func TestCompareReportsProblems(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "b.json", entry("b", "2", `"x.toml"`, "0.70", day("calm", "0.8", "", "null")))
	write(t, dir, "a.json", entry("a", "1", `"x.toml"`, "0.90", day("calm", "0.9", "", "null")))
	write(t, dir, "q.json", entry("q", "3", `"x.toml","--quick"`, "0.60", day("rough", "0.6", "", "null")))
	before, err := ReadJournal(dir)
	if err != nil || len(before) != 3 || before[0].ID != "a" {
		t.Fatal(before, err)
	}
	for _, c := range []struct{ score, day, wantProblems string }{
		{"0.671", day("calm", "0.5", "", "null"), ""},
		{"0.669", day("calm", "0.8", "", "null"), "score fell by more than 0.03"},
		{"0.9", day("calm", "0.8", `"ran_twice":3`, "null"), "broke rule ran_twice: 3"},
		{"0.9", day("calm", "0.8", "", `"too slow"`), "failed: too slow"},
		{"0.9", day("calm", "0", "", "null"), "score is 0"},
		{"0.9", served(`["reports",0.2,0.49],["team tins",0.4,0.5],["never",0,0]`), "failed: only 49% of reports served"},
		{"0.9", served(`["reports",0.2,0.9],["largest reports",0.1,0.4]`), "failed: only 40% of largest reports served"},
		{"0.9", "", "the run has no days"},
	} {
		measuredDir := t.TempDir()
		write(t, measuredDir, "n.json", entry("n", "4", `"x.toml"`, c.score, c.day))
		now, err := ReadJournal(measuredDir)
		if err != nil {
			t.Fatal(err)
		}
		rows := Compare(before, now)
		var problems []string
		for _, r := range rows {
			if r.Problem != "" {
				problems = append(problems, r.Problem)
			}
		}
		if got := strings.Join(problems, "|"); got != c.wantProblems || AnyProblem(rows) != (c.wantProblems != "") {
			t.Errorf("score %s, day %s: got problems %q", c.score, c.day, got)
		}
		if *rows[0].Baseline != 0.7 {
			t.Errorf("compared with the score %v, want that of the newest entry, 0.7", *rows[0].Baseline)
		}
	}
	write(t, dir, "torn.json", `{"id":`)
	if _, err := ReadJournal(dir); err == nil || !strings.Contains(err.Error(), "torn.json") {
		t.Fatal(err)
	}
}
