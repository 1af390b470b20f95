package schema

import (
	"strings"
	"testing"
)

var testSchema = Compile("t.json", []byte(`{"type":"object","additionalProperties":false,"required":["a"],
"properties":{"a":{"type":"integer","minimum":1},"b":{"type":"array","items":{"type":"object","required":["c"],"properties":{"c":{"type":"string"}}}},"d":{"type":"object","additionalProperties":{"type":"string"}}}}`))

// Each mistake has its line, all are told at once, and what is not YAML is told too.
func TestReadReportsEveryViolationWithItsLine(t *testing.T) {
	for text, want := range map[string][]string{
		"a: 1\nb:\n  - c: x\n":                 nil,
		"# a comment\n\na: 0\n":                {"f:3: a: minimum"},
		"b:\n  - c: x\n  - c: 7\n  - e: 1\n":   {"f:1: missing property 'a'", "f:3: b.1.c: got number, want string", "f:4: b.2: missing property 'c'"},
		"a: 1\nd:\n  k: v\n  l: [1]\nother: 2": {"f:1: additional properties 'other'", "f:4: d.l: got array, want string"},
		"a: 1\nb: [\n":                         {"f:2: did not find"},
		"":                                     {"f:1: the file is empty"},
		"a: 1\na: 2\n":                         {"f:2: mapping key"},
		"- 1\n":                                {"f:1: got array, want object"},
	} {
		out := map[string]any{}
		err := testSchema.Read("f", []byte(text), &out)
		if want == nil {
			if err != nil || out["a"] != 1 {
				t.Errorf("%q: %v, %v", text, out, err)
			}
			continue
		}
		if err == nil {
			t.Errorf("%q is taken", text)
			continue
		}
		lines := strings.Split(err.Error(), "\n")
		for i, w := range want {
			if i >= len(lines) || !strings.HasPrefix(lines[i], w) {
				t.Errorf("%q: %q, want %q", text, lines, want)
				break
			}
		}
	}
}
