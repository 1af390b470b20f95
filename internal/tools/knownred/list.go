package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// maxEntries is how many tests may be listed at a time. The list is only for faults that could not
// be fixed in time; the limit keeps it from growing into a permanent list of failures.
const maxEntries = 3

// entry is a line of the list: a test that fails, the cause, and the issue that tracks it.
type entry struct {
	Package string // relative to the module's root, such as "internal/core"
	Test    string // the full name of a test function, without a subtest
	Cause   string
	Issue   string
}

func (e entry) String() string {
	return fmt.Sprintf("%s %s, %s, %s", e.Package, e.Test, e.Cause, e.Issue)
}

var entryPattern = regexp.MustCompile(`^(\S+) (Test[\p{L}\p{N}_]*), (.+), (issue \d+)$`)

// readList reads the list from a file. A missing file counts as an empty list.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseList(string(text))
}

// parseList parses a list of at most maxEntries entries, one on each line. It skips empty lines.
func parseList(text string) ([]entry, error) {
	var list []entry
	listed := map[string]bool{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		parts := entryPattern.FindStringSubmatch(line)
		if parts == nil {
			return nil, fmt.Errorf("%q is not of the form \"package test, cause, issue number\"", line)
		}
		e := entry{Package: parts[1], Test: parts[2], Cause: parts[3], Issue: parts[4]}
		if listed[e.Test] {
			return nil, fmt.Errorf("%s is listed twice", e.Test)
		}
		listed[e.Test] = true
		list = append(list, e)
	}
	if len(list) > maxEntries {
		return nil, fmt.Errorf("%d tests are listed, but at most %d are allowed", len(list), maxEntries)
	}
	return list, nil
}
