package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
)

// runner runs the tests of a module.
type runner struct {
	dir      string // the module's root
	race     bool
	packages []string
	stdout   io.Writer
	stderr   io.Writer
}

// check runs the tests listed in the file at path, each of which must exist and fail, and then all
// other tests, which must pass.
func (r *runner) check(path string) error {
	list, err := readList(path)
	if err != nil {
		return fmt.Errorf("cannot read the list of known failures in %s: %w", path, err)
	}
	if len(list) == 0 {
		return r.run(r.packages...)
	}
	if err := r.checkListedTestsExist(list); err != nil {
		return err
	}
	var errs []error
	for _, e := range list {
		errs = append(errs, r.mustFail(e))
	}
	// The other tests run last, so that the output ends as that of go test does.
	errs = append(errs, r.run(append([]string{"-skip=" + testPattern(list)}, r.packages...)...))
	return errors.Join(errs...)
}

// testPattern returns a regular expression that matches the names of the listed tests and no
// others.
func testPattern(list []entry) string {
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Test)
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// packageTimeoutFlag bounds the run time of one package's tests. Those of internal/core take some
// minutes with the race detector, and several times as long on a machine that is busy with other
// work. With go test's default of ten minutes, the result would depend on the machine's load.
const packageTimeoutFlag = "-timeout=30m"

// command returns a go command that runs in the module. "test" gets the timeout, and the race
// detector if r.race is set.
func (r *runner) command(verb string, args ...string) *exec.Cmd {
	if verb == "test" {
		args = append([]string{packageTimeoutFlag}, args...)
	}
	if verb == "test" && r.race {
		args = append([]string{"-race"}, args...)
	}
	cmd := exec.Command("go", append([]string{verb}, args...)...)
	cmd.Dir, cmd.Stderr = r.dir, r.stderr
	return cmd
}

// run runs go test and passes its output on.
func (r *runner) run(args ...string) error {
	cmd := r.command("test", args...)
	cmd.Stdout = r.stdout
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// event holds the fields that are used here of a line that go test -json prints.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// events runs go test -json and returns its events. The error is that of the go test command, or an
// error in decoding its output.
func (r *runner) events(args ...string) ([]event, error) {
	out, testErr := r.command("test", append([]string{"-json"}, args...)...).Output()
	var list []event
	for decoder := json.NewDecoder(bytes.NewReader(out)); decoder.More(); {
		var e event
		if err := decoder.Decode(&e); err != nil {
			return nil, fmt.Errorf("decode the output of go test -json: %w", err)
		}
		list = append(list, e)
	}
	return list, testErr
}

// checkListedTestsExist returns an error unless each listed test exists in its package and in no
// other one. The run of the other tests skips the listed names in all packages, so a test of the
// same name in another package would never run.
func (r *runner) checkListedTestsExist(list []entry) error {
	module, err := r.command("list", "-m").Output()
	if err != nil {
		return fmt.Errorf("go list -m: %w", err)
	}
	found, err := r.events(append([]string{"-list=" + testPattern(list)}, r.packages...)...)
	if err != nil {
		return fmt.Errorf("go test -list: %w\n%s", err, outputExcerpt(found))
	}
	packages := map[string][]string{}
	for _, e := range found {
		name := strings.TrimSpace(e.Output)
		packages[name] = append(packages[name], e.Package)
	}
	for _, e := range list {
		want := strings.TrimSpace(string(module)) + "/" + e.Package
		if in := packages[e.Test]; len(in) != 1 || in[0] != want {
			return fmt.Errorf("known red: %s is expected in %s only, but was found in %q", e.Test, want, in)
		}
	}
	return nil
}

// mustFail runs a listed test and prints the beginning of its output. It returns an error if the
// test does not fail.
func (r *runner) mustFail(e entry) error {
	events, err := r.events("-count=1", "-run="+testPattern([]entry{e}), "./"+e.Package)
	result := "none"
	for _, x := range events {
		if x.Test == e.Test && (x.Action == "pass" || x.Action == "fail" || x.Action == "skip") {
			result = x.Action
		}
	}
	if result != "fail" {
		return errors.Join(err, fmt.Errorf("known red: %s must fail, but its result is %q: remove its line from the list if the fault is fixed\n%s",
			e.Test, result, outputExcerpt(events)))
	}
	_, err = fmt.Fprintf(r.stdout, "known red: %s\n%s", e, outputExcerpt(events))
	return err
}

// maxOutputLines is how many lines of the output of tests are shown.
const maxOutputLines = 12

// outputExcerpt returns the first maxOutputLines lines that tests printed, indented.
func outputExcerpt(events []event) string {
	var b strings.Builder
	lines := 0
	for _, e := range events {
		if e.Output == "" || lines == maxOutputLines {
			continue
		}
		lines++
		b.WriteString("    | " + e.Output)
	}
	return b.String()
}
