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
	dir      string // of the module
	race     bool
	packages []string
	stdout   io.Writer
	stderr   io.Writer
}

// check runs the listed tests, each of which must exist and fail, and then all others, which
// must pass.
func (r *runner) check(path string) error {
	list, err := readList(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
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
	// Last, so that what is printed ends as go test ends it.
	errs = append(errs, r.run(append([]string{"-skip=" + testPattern(list)}, r.packages...)...))
	return errors.Join(errs...)
}

// testPattern matches the listed tests and no others.
func testPattern(list []entry) string {
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Test)
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// packageTimeoutFlag bounds the tests of one package. The core's take some minutes with the race
// detector, and several times as long on a machine that is busy with other work; go test's own
// ten minutes would make the verdict depend on that.
const packageTimeoutFlag = "-timeout=30m"

// command prepares a go command; "test" gets the race detector if it is asked for.
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

// run runs tests and passes on what they print.
func (r *runner) run(args ...string) error {
	cmd := r.command("test", args...)
	cmd.Stdout = r.stdout
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// event is a line of go test -json, as far as it is read here.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// events runs go test -json. Its error is that of the tests.
func (r *runner) events(args ...string) ([]event, error) {
	out, failed := r.command("test", append([]string{"-json"}, args...)...).Output()
	var list []event
	for decoder := json.NewDecoder(bytes.NewReader(out)); decoder.More(); {
		var e event
		if err := decoder.Decode(&e); err != nil {
			return nil, fmt.Errorf("what go test -json printed: %w", err)
		}
		list = append(list, e)
	}
	return list, failed
}

// checkListedTestsExist fails unless each listed test is there, in its package alone: the others are run
// without tests of that name, whatever package they are in.
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
			return fmt.Errorf("known red: %s is expected in %s alone, and is in %q", e.Test, want, in)
		}
	}
	return nil
}

// mustFail runs a listed test and prints how it fails. That it does not is an error.
func (r *runner) mustFail(e entry) error {
	events, err := r.events("-count=1", "-run="+testPattern([]entry{e}), "./"+e.Package)
	verdict := "none"
	for _, x := range events {
		if x.Test == e.Test && (x.Action == "pass" || x.Action == "fail" || x.Action == "skip") {
			verdict = x.Action
		}
	}
	if verdict != "fail" {
		return errors.Join(err, fmt.Errorf("known red: %s must fail, its verdict is %q: take its line away if its fault is mended\n%s",
			e.Test, verdict, outputExcerpt(events)))
	}
	_, err = fmt.Fprintf(r.stdout, "known red: %s\n%s", e, outputExcerpt(events))
	return err
}

// maxOutputLines is how many lines of a listed test's output are shown.
const maxOutputLines = 12

// outputExcerpt is the beginning of what tests printed, indented.
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
