package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// scratchModule holds the files of a module with tests that pass, fail, panic or are skipped, and a
// package that does not compile.
var scratchModule = map[string]string{
	"go.mod": "module example.test/scratch\n\ngo 1.24\n",
	"sound/sound_test.go": `package sound
import "testing"
func TestSound(t *testing.T) {}
func TestSoundToo(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip("not today") }
func TestTwice(t *testing.T) {}
`,
	"red/red_test.go": `package red
import "testing"
func TestRed(t *testing.T) { t.Run("part", func(t *testing.T) { t.Fatal("the known fault") }) }
func TestBeside(t *testing.T) {}
`,
	"panics/panics_test.go": `package panics
import "testing"
func TestPanics(t *testing.T) { panic("the other known fault") }
`,
	"worse/worse_test.go": `package worse
import "testing"
func TestRedder(t *testing.T) { t.Fatal("a fault nobody knows") }
func TestTwice(t *testing.T) { t.Fatal("once more") }
`,
	"broken/broken_test.go": "package broken\nfunc TestBroken(\n",
}

// writeScratch writes scratchModule to a new directory and returns the directory.
func writeScratch(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range scratchModule {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestOnlyListedTestsMayAndMustFail(t *testing.T) {
	dir := writeScratch(t)
	const red = "red TestRed, it is broken, issue 42\n"
	for _, c := range []struct {
		name     string
		list     string
		packages string
		fails    string // part of the expected error, empty: no error
		prints   string // part of the expected output
	}{
		{"nothing listed, all pass", "", "./sound", "", "ok  \texample.test/scratch/sound"},
		{"nothing listed, one fails", "\n", "./sound ./red", "exit status 1", "--- FAIL: TestRed"},
		{"a listed test fails", red, "./sound ./red", "", "known red: red TestRed, it is broken, issue 42"},
		{"the output of a listed test is shown", red, "./sound ./red", "", "| "},
		{"tests that are not listed are run", red, "./sound ./red", "", "ok  \texample.test/scratch/red"},
		{"a listed test panics", "panics TestPanics, it is broken, issue 42\n", "./sound ./panics", "", "the other known fault"},
		{"a listed test passes", "sound TestSound, it was broken, issue 42\n", "./sound", `its result is "pass"`, "ok  \texample.test/scratch/sound"},
		{"a listed test is skipped", "sound TestSkipped, it was broken, issue 42\n", "./sound", `its result is "skip"`, ""},
		{"a listed test does not exist", "sound TestGone, it was broken, issue 42\n", "./sound ./red", "is expected in", ""},
		{"a listed name is only a prefix of a test's name", "red TestRe, it is broken, issue 42\n", "./red", "is expected in", ""},
		{"a listed test is in another package", "sound TestRed, it is broken, issue 42\n", "./sound ./red", "is expected in", ""},
		{"another package also has a test of the listed name", "worse TestTwice, it is broken, issue 42\n", "./sound ./worse", "is expected in", ""},
		{"a test that is not listed fails", red, "./sound ./red ./worse", "exit status 1", "--- FAIL: TestRedder"},
		{"a package does not compile", red, "./red ./broken", "go test -list", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(path, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			r := runner{dir: dir, packages: strings.Fields(c.packages), stdout: &out, stderr: &out}
			err := r.check(path)
			switch {
			case c.fails == "" && err != nil:
				t.Errorf("check failed: %v, want no error", err)
			case c.fails != "" && (err == nil || !strings.Contains(err.Error(), c.fails)):
				t.Errorf("check returned the error %v, want one that contains %q", err, c.fails)
			}
			if !strings.Contains(out.String(), c.prints) {
				t.Errorf("the output does not contain %q:\n%s", c.prints, out.String())
			}
		})
	}
}

func TestMissingListIsEmpty(t *testing.T) {
	var out bytes.Buffer
	r := runner{dir: writeScratch(t), packages: []string{"./sound"}, stdout: &out, stderr: &out}
	if err := r.check(filepath.Join(t.TempDir(), "missing")); err != nil {
		t.Fatalf("check without a list: %v\n%s", err, out.String())
	}
}

func TestParseListAcceptsOnlyValidLists(t *testing.T) {
	line := func(test string) string { return "internal/core " + test + ", a cause, with a comma, issue 42\n" }
	list, err := parseList(line("TestA") + "\n" + line("TestB") + line("TestC"))
	want := entry{Package: "internal/core", Test: "TestB", Cause: "a cause, with a comma", Issue: "issue 42"}
	if err != nil || len(list) != 3 || list[1] != want {
		t.Fatalf("parse of three valid lines: error %v, entries %+v", err, list)
	}
	for name, text := range map[string]string{
		"four lines":      line("TestA") + line("TestB") + line("TestC") + line("TestD"),
		"a test twice":    line("TestA") + line("TestA"),
		"a subtest":       line("TestA/part"),
		"a pattern":       line("Test.*"),
		"two tests":       line("TestA|TestB"),
		"no package":      "TestA, a cause, issue 42\n",
		"no cause":        "internal/core TestA, issue 42\n",
		"no issue":        "internal/core TestA, a cause\n",
		"no issue number": "internal/core TestA, a cause, issue soon\n",
	} {
		if list, err := parseList(text); err == nil {
			t.Errorf("%s: the list is parsed as %+v, want an error", name, list)
		}
	}
}

// The error for a malformed line quotes that line, so that its author can find it.
func TestMalformedLineIsQuotedInError(t *testing.T) {
	const line = "internal/core TestA, a cause, issue soon"
	_, err := parseList("internal/core TestB, a cause, issue 7\n" + line + "\n")
	if err == nil || !strings.Contains(err.Error(), line) {
		t.Errorf("got the error %v, want one that contains %q", err, line)
	}
}
