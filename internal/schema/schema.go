// Package schema reads what people write: YAML (so JSON too) that is held against a JSON
// schema, with the line of each mistake.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is a compiled schema.
type Schema struct{ s *jsonschema.Schema }

// Compile compiles a schema that is part of the program; it panics if that is wrong.
func Compile(name string, text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("form: %s: %v", name, err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("form: %s: %v", name, err))
	}
	return &Schema{c.MustCompile(name)}
}

// Violation is one thing that is wrong, with its line, counted from 1.
type Violation struct {
	Line int
	Text string
}

// Violations are all that is wrong with a file.
type Violations struct {
	File string
	List []Violation
}

// Error gives a line for each mistake.
func (m *Violations) Error() string {
	var lines []string
	for _, x := range m.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", m.File, x.Line, x.Text))
	}
	return strings.Join(lines, "\n")
}

// Read decodes a file's text into out, which may hold defaults. The error is *Mistakes.
func (s *Schema) Read(file string, text []byte, out any) error {
	bad := func(line int, what string) error { return &Violations{file, []Violation{{line, what}}} }
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return &Violations{file, numbered(err)}
	}
	if len(root.Content) == 0 {
		return bad(1, "the file is empty")
	}
	var value any
	if err := root.Decode(&value); err != nil {
		return &Violations{file, numbered(err)}
	}
	err := s.s.Validate(plain(value))
	var v *jsonschema.ValidationError
	if errors.As(err, &v) {
		m := &Violations{File: file}
		m.collect(root.Content[0], v)
		slices.SortStableFunc(m.List, func(a, b Violation) int { return a.Line - b.Line })
		return m
	}
	if err != nil {
		return bad(1, err.Error())
	}
	if err := root.Decode(out); err != nil {
		return &Violations{file, numbered(err)}
	}
	return nil
}

// numbered takes the lines out of the YAML library's error, which is one sentence or a
// list of them.
func numbered(err error) (out []Violation) {
	for _, l := range strings.Split(strings.TrimPrefix(err.Error(), "yaml: "), "\n") {
		l = strings.TrimSpace(l)
		if l == "unmarshal errors:" || l == "" {
			continue
		}
		m := Violation{1, l}
		if rest, ok := strings.CutPrefix(l, "line "); ok {
			if n, more, ok := strings.Cut(rest, ": "); ok {
				if k, err := strconv.Atoi(n); err == nil {
					m = Violation{k, more}
				}
			}
		}
		out = append(out, m)
	}
	return out
}

// plain turns what the YAML library gives into what a JSON library would.
func plain(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for k, e := range x {
			x[k] = plain(e)
		}
		return x
	case map[any]any:
		m := map[string]any{}
		for k, e := range x {
			m[fmt.Sprint(k)] = plain(e)
		}
		return m
	case []any:
		for i, e := range x {
			x[i] = plain(e)
		}
		return x
	case int:
		return float64(x)
	}
	return v
}

var printer = message.NewPrinter(language.English)

// collect gathers the innermost causes: the outer ones only say that there are some.
func (m *Violations) collect(root *yaml.Node, v *jsonschema.ValidationError) {
	if len(v.Causes) > 0 {
		for _, c := range v.Causes {
			m.collect(root, c)
		}
		return
	}
	text := v.ErrorKind.LocalizedString(printer)
	if len(v.InstanceLocation) > 0 {
		text = strings.Join(v.InstanceLocation, ".") + ": " + text
	}
	m.List = append(m.List, Violation{line(root, v.InstanceLocation), text})
}

// line finds where a value stands; for one that is missing, its map.
func line(n *yaml.Node, path []string) int {
	for _, p := range path {
		var next *yaml.Node
		switch n.Kind {
		case yaml.MappingNode:
			for i := 0; i+1 < len(n.Content); i += 2 {
				if n.Content[i].Value == p {
					next = n.Content[i+1]
					if next.Kind == yaml.ScalarNode {
						next = &yaml.Node{Kind: next.Kind, Line: n.Content[i].Line}
					}
				}
			}
		case yaml.SequenceNode:
			if i, err := strconv.Atoi(p); err == nil && i < len(n.Content) {
				next = n.Content[i]
			}
		}
		if next == nil {
			break
		}
		n = next
	}
	return n.Line
}
