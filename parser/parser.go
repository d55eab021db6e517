// Package parser strictly decodes YAML documents into structs and reports all
// errors of a document, each with its file, line and key.
package parser

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError is one error in a document.
type FieldError struct {
	File string `json:"file"`
	// Line is counted from 1; zero means that the error concerns the whole file.
	Line    int    `json:"line"`
	Key     string `json:"key,omitempty"`
	Message string `json:"problem"`
}

// String returns the error as file:line: key: message, which editors can jump to.
func (f FieldError) String() string {
	position := fmt.Sprintf("%s:%d", f.File, f.Line)
	if f.Key == "" {
		return position + ": " + f.Message
	}
	return position + ": " + f.Key + ": " + f.Message
}

// FieldErrors is all errors of one document, in the order in which they were found.
type FieldErrors []FieldError

// Error implements error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldError := range f {
		lines[i] = fieldError.String()
	}
	return strings.Join(lines, "\n")
}

// Source records the line of each key of a decoded document, and the errors found
// in it.
type Source struct {
	file   string
	lines  map[string]int
	errors FieldErrors
}

// Decode decodes YAML into target, a pointer to a struct. Keys come from the yaml
// tags; a field tagged required:"true" must be present and not empty. Source.Err
// returns the errors.
func Decode(file string, data []byte, target any) *Source {
	s := &Source{file: file, lines: map[string]int{}}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		s.addSyntaxError(err)
		return s
	}
	if len(document.Content) == 0 {
		s.Report("", "the document is empty")
		return s
	}
	s.decodeValue(document.Content[0], reflect.ValueOf(target).Elem(), "")
	return s
}

// Report adds an error at the line of the key or its nearest parent in the document.
func (s *Source) Report(key, format string, args ...any) {
	s.errors = append(s.errors, FieldError{
		File:    s.file,
		Line:    s.line(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// Has reports whether the document contains the key.
func (s *Source) Has(key string) bool {
	_, ok := s.lines[key]
	return ok
}

// Err returns all errors as FieldErrors, or nil if there are none.
func (s *Source) Err() error {
	if len(s.errors) == 0 {
		return nil
	}
	return s.errors
}

func (s *Source) line(key string) int {
	for key != "" {
		if line, ok := s.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

func (s *Source) addSyntaxError(err error) {
	line := 1
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		// The YAML package reports the line only within the error's text.
		_, _ = fmt.Sscanf(err.Error(), "yaml: line %d:", &line)
	}
	s.errors = append(s.errors, FieldError{File: s.file, Line: line, Message: err.Error()})
}

func (s *Source) addError(node *yaml.Node, key, format string, args ...any) {
	s.errors = append(s.errors, FieldError{File: s.file, Line: node.Line, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (s *Source) decodeValue(node *yaml.Node, target reflect.Value, key string) {
	if key != "" {
		s.lines[key] = node.Line
	}
	if node.Kind == yaml.AliasNode {
		s.addError(node, key, "aliases are not allowed")
		return
	}
	if s.decodeText(node, target, key) {
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		s.decodeStruct(node, target, key)
	case reflect.Slice:
		s.decodeSequence(node, target, key)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		s.decodeValue(node, target.Elem(), key)
	default:
		s.decodeScalar(node, target, key)
	}
}

// decodeText decodes types that implement encoding.TextUnmarshaler, such as
// Duration, and returns false for others.
func (s *Source) decodeText(node *yaml.Node, target reflect.Value, key string) bool {
	unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler)
	if !ok {
		return false
	}
	if node.Kind != yaml.ScalarNode {
		s.addError(node, key, "expected a single value")
		return true
	}
	if err := unmarshaler.UnmarshalText([]byte(node.Value)); err != nil {
		s.addError(node, key, "%v", err)
	}
	return true
}

func (s *Source) decodeStruct(node *yaml.Node, target reflect.Value, key string) {
	if node.Kind != yaml.MappingNode {
		s.addError(node, key, "expected keys with values")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		path := joinKey(key, name)
		index, known := fields[name]
		switch {
		case !known:
			s.addError(node.Content[i], path, "unknown key")
		case seen[name]:
			s.addError(node.Content[i], path, "duplicate key")
		default:
			s.decodeValue(node.Content[i+1], target.Field(index), path)
		}
		seen[name] = true
	}
	s.checkRequired(node, target, key, seen)
}

func (s *Source) checkRequired(node *yaml.Node, target reflect.Value, key string, seen map[string]bool) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name := field.Tag.Get("yaml")
		if field.Tag.Get("required") == "true" && !seen[name] {
			s.addError(node, joinKey(key, name), "missing")
		}
	}
}

func (s *Source) decodeSequence(node *yaml.Node, target reflect.Value, key string) {
	if node.Kind != yaml.SequenceNode {
		s.addError(node, key, "expected a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		s.decodeValue(item, list.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
	target.Set(list)
}

func (s *Source) decodeScalar(node *yaml.Node, target reflect.Value, key string) {
	if node.Kind != yaml.ScalarNode {
		s.addError(node, key, "expected a single value")
		return
	}
	switch target.Kind() {
	case reflect.String:
		if node.Tag != "!!str" || node.Value == "" {
			s.addError(node, key, "expected text, not %q", node.Value)
			return
		}
		target.SetString(node.Value)
	case reflect.Bool:
		flag, err := strconv.ParseBool(node.Value)
		if err != nil || node.Tag != "!!bool" {
			s.addError(node, key, "expected true or false, not %q", node.Value)
			return
		}
		target.SetBool(flag)
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(node.Value, 10, 64)
		if err != nil {
			s.addError(node, key, "expected a whole number, not %q", node.Value)
			return
		}
		target.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(node.Value, 64)
		if err != nil {
			s.addError(node, key, "expected a number, not %q", node.Value)
			return
		}
		target.SetFloat(number)
	default:
		s.addError(node, key, "values of type %s cannot be set", target.Type())
	}
}

func fieldIndexes(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structure.NumField() {
		if name := structure.Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
