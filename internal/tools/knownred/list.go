package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// maxEntries is how many faults may be known and left at a time. The list is for what could
// not be mended in time, not a place to leave failures in.
const maxEntries = 3

// entry is a line of the list: a test that fails, why, and where that is followed.
type entry struct {
	Package string // from the module's root, as "internal/core"
	Test    string // its whole name, no subtest
	Cause   string
	Issue   string
}

func (e entry) String() string {
	return fmt.Sprintf("%s %s, %s, %s", e.Package, e.Test, e.Cause, e.Issue)
}

var entryPattern = regexp.MustCompile(`^(\S+) (Test[\p{L}\p{N}_]*), (.+), (issue \d+)$`)

// readList reads the list; a file that is missing is an empty one.
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

// parseList reads a list of at most maxEntries lines; empty ones do not count.
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
		return nil, fmt.Errorf("%d tests are listed, at most %d may be", len(list), maxEntries)
	}
	return list, nil
}
