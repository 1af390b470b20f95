// Package schema decodes files that people write, in YAML or its subset JSON, validates them against a
// JSON schema and reports the line of each mistake.
//
// It owns the steps from a file's text to a decoded value. It must not know what the files mean, and it
// does not read files itself.
//
// Invariants: all mistakes that the schema finds in a file are reported at once, in the order of their
// lines; nothing is decoded into the caller's value unless the file conforms to the schema.
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

// Schema is a compiled JSON schema.
type Schema struct{ compiled *jsonschema.Schema }

// Compile compiles a JSON schema that is part of the program. It panics if the schema is invalid.
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

// Violation is one mistake in a file. Lines are counted from 1.
type Violation struct {
	Line int
	Text string
}

// Violations is an error that lists all mistakes found in a file.
type Violations struct {
	File string
	List []Violation
}

// Error returns one line of text for each mistake.
func (v *Violations) Error() string {
	var lines []string
	for _, violation := range v.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", v.File, violation.Line, violation.Text))
	}
	return strings.Join(lines, "\n")
}

// Read validates a file's text and decodes it into out, a pointer to a value that may hold defaults. file
// is the name that errors give. Any error is a *Violations.
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

// parseYAMLError splits an error of the YAML library, which holds one message or a list of them, into
// violations.
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

// parseYAMLMessage parses "line N: text". A message that does not name a line is reported for line 1.
func parseYAMLMessage(errorText string) Violation {
	withoutLine := Violation{1, errorText}
	numberAndText, ok := strings.CutPrefix(errorText, "line ")
	if !ok {
		return withoutLine
	}
	number, text, ok := strings.Cut(numberAndText, ": ")
	if !ok {
		return withoutLine
	}
	line, err := strconv.Atoi(number)
	if err != nil {
		return withoutLine
	}
	return Violation{line, text}
}

// jsonValue converts a value that the YAML library decoded to the types that a JSON library would use.
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

// printer formats the error messages of the schema library.
var printer = message.NewPrinter(language.English)

// collect adds a violation for each innermost cause. The outer errors only say that there are causes.
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

// lineOf returns the line of the value at a path. If the value is missing, that is the line of the
// innermost existing value on the path.
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

// child returns the value at a key of a map or at an index of a list, and the line to report for it. For
// a scalar in a map that is the line of its key, where people look for it.
func child(node *yaml.Node, step string) (*yaml.Node, int) {
	var found *yaml.Node
	line := 0
	switch node.Kind {
	case yaml.MappingNode:
		// Content alternates keys and values. If a key is repeated, its last value is used.
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
