// Package schema reads the files that people write, YAML (so JSON too), checks them against a
// JSON schema and gives the line of each mistake.
//
// It owns the way from text to a decoded value. It may not know what the files mean, and
// reads no file itself.
//
// Invariants: all mistakes of a file are reported at once, in the order of their lines;
// nothing that the schema refuses is decoded into the caller's value.
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
type Schema struct{ compiled *jsonschema.Schema }

// Compile compiles a schema that is part of the program; it panics if that is wrong.
func Compile(name string, text []byte) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("schema: %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		panic(fmt.Sprintf("schema: %s: %v", name, err))
	}
	return &Schema{compiler.MustCompile(name)}
}

// Violation is one mistake in a file, with its line, counted from 1.
type Violation struct {
	Line int
	Text string
}

// Violations is the error that names all mistakes of a file.
type Violations struct {
	File string
	List []Violation
}

// Error gives a line for each mistake.
func (v *Violations) Error() string {
	var lines []string
	for _, violation := range v.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", v.File, violation.Line, violation.Text))
	}
	return strings.Join(lines, "\n")
}

// Read decodes a file's text into out, which may hold defaults. The error is *Violations.
func (s *Schema) Read(file string, text []byte, out any) error {
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return &Violations{file, parseYAMLError(err)}
	}
	if len(root.Content) == 0 {
		return &Violations{file, []Violation{{1, "the file is empty"}}}
	}
	if err := s.validate(file, &root); err != nil {
		return err
	}
	if err := root.Decode(out); err != nil {
		return &Violations{file, parseYAMLError(err)}
	}
	return nil
}

// validate checks a parsed file against the schema.
func (s *Schema) validate(file string, root *yaml.Node) error {
	var value any
	if err := root.Decode(&value); err != nil {
		return &Violations{file, parseYAMLError(err)}
	}
	err := s.compiled.Validate(jsonValue(value))
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return &Violations{file, []Violation{{1, err.Error()}}}
	}
	violations := &Violations{File: file}
	violations.collect(root.Content[0], invalid)
	slices.SortStableFunc(violations.List, func(a, b Violation) int { return a.Line - b.Line })
	return violations
}

// parseYAMLError takes the lines out of the YAML library's error, which is one sentence or
// a list of them.
func parseYAMLError(err error) []Violation {
	var violations []Violation
	for _, text := range strings.Split(strings.TrimPrefix(err.Error(), "yaml: "), "\n") {
		text = strings.TrimSpace(text)
		if text == "unmarshal errors:" || text == "" {
			continue
		}
		violations = append(violations, parseYAMLMessage(text))
	}
	return violations
}

// parseYAMLMessage reads "line N: text"; a sentence without a line is about the first.
func parseYAMLMessage(sentence string) Violation {
	whole := Violation{1, sentence}
	rest, ok := strings.CutPrefix(sentence, "line ")
	if !ok {
		return whole
	}
	number, text, ok := strings.Cut(rest, ": ")
	if !ok {
		return whole
	}
	line, err := strconv.Atoi(number)
	if err != nil {
		return whole
	}
	return Violation{line, text}
}

// jsonValue turns what the YAML library decodes into what a JSON library would.
func jsonValue(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for k, element := range v {
			v[k] = jsonValue(element)
		}
		return v
	case map[any]any:
		object := map[string]any{}
		for k, element := range v {
			object[fmt.Sprint(k)] = jsonValue(element)
		}
		return object
	case []any:
		for i, element := range v {
			v[i] = jsonValue(element)
		}
		return v
	case int:
		return float64(v)
	}
	return value
}

// printer words the schema library's errors.
var printer = message.NewPrinter(language.English)

// collect gathers the innermost causes: the outer ones only say that there are some.
func (v *Violations) collect(root *yaml.Node, invalid *jsonschema.ValidationError) {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			v.collect(root, cause)
		}
		return
	}
	text := invalid.ErrorKind.LocalizedString(printer)
	if len(invalid.InstanceLocation) > 0 {
		text = strings.Join(invalid.InstanceLocation, ".") + ": " + text
	}
	v.List = append(v.List, Violation{lineOf(root, invalid.InstanceLocation), text})
}

// lineOf finds the line of the value at a path; of one that is missing, its map's.
func lineOf(node *yaml.Node, path []string) int {
	line := node.Line
	for _, step := range path {
		next, nextLine := child(node, step)
		if next == nil {
			break
		}
		node, line = next, nextLine
	}
	return line
}

// child finds a map's value by its key or a list's by its index, and its line: a scalar
// counts by its key's line, where a person looks for it.
func child(node *yaml.Node, step string) (*yaml.Node, int) {
	var found *yaml.Node
	line := 0
	switch node.Kind {
	case yaml.MappingNode:
		// Content holds keys and values in turn. Of a repeated key the last one counts.
		for i := 0; i+1 < len(node.Content); i += 2 {
			key, value := node.Content[i], node.Content[i+1]
			if key.Value != step {
				continue
			}
			found, line = value, value.Line
			if value.Kind == yaml.ScalarNode {
				line = key.Line
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i < len(node.Content) {
			found, line = node.Content[i], node.Content[i].Line
		}
	}
	return found, line
}
