package logging

import (
	"bytes"
	"testing"
)

func TestLevelFollowsEnvironment(t *testing.T) {
	for value, wantLines := range map[string]int{"error": 1, "": 2, "info": 2, "loud": 2, "DEBUG": 3} {
		t.Setenv(levelVariable, value)
		var out bytes.Buffer
		log := New(&out)
		log.Error("one")
		log.Info("two")
		log.Debug("three")
		if gotLines := bytes.Count(out.Bytes(), []byte("\n")); gotLines != wantLines {
			t.Errorf("LOG_LEVEL=%q: logger wrote %d lines, want %d", value, gotLines, wantLines)
		}
	}
}
