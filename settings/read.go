package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pomelospring/pomelospring"
)

// Read reads and validates a settings file of `pomelospringd serve`.
func Read(path string) (settings *Settings, err error) {
	defer pomelospring.Annotate(&err, "settings %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and validates settings over the defaults. An error names the
// line, the field and what is allowed.
func Parse(text []byte) (settings *Settings, err error) {
	settings = Default()
	if err = parse(text, settings); err != nil {
		return nil, err
	}
	return settings, nil
}

// ReadFront reads and validates a settings file of `pomelospringd front`.
func ReadFront(path string) (settings *Front, err error) {
	defer pomelospring.Annotate(&err, "settings %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFront(text)
}

// ParseFront decodes and validates settings of `pomelospringd front` over the
// defaults.
func ParseFront(text []byte) (settings *Front, err error) {
	settings = DefaultFront()
	if err = parse(text, settings); err != nil {
		return nil, err
	}
	if !slices.Contains(settings.Domains, settings.Domain) {
		return nil, fmt.Errorf("domain is %q: it must be one of domains", settings.Domain)
	}
	return settings, nil
}

// parse decodes text into settings, a pointer to a struct that already holds the
// defaults, and validates the result. Unknown fields are errors.
func parse(text []byte, settings any) (err error) {
	if err = checkDurations(text, reflect.TypeOf(settings).Elem()); err != nil {
		return err
	}
	decoder := yaml.NewDecoder(strings.NewReader(string(text)), yaml.DisallowUnknownField())
	if err = decoder.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return errors.New(strings.TrimSpace(yaml.FormatError(err, false, true)))
	}
	return check(settings, text)
}

// checkDurations reports durations that can't be parsed. The decoder's own error
// for them names neither line nor field.
func checkDurations(text []byte, structType reflect.Type) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		// The decoder reports the syntax error with its position.
		return nil
	}
	var problems []error
	for _, path := range durationPaths("", structType) {
		node := nodeAt(file, path)
		if node == nil {
			continue
		}
		if _, err := time.ParseDuration(node.GetToken().Value); err != nil {
			problems = append(problems, fmt.Errorf("line %d: %s is %q: it must be a duration such as 10s", node.GetToken().Position.Line, path, node.GetToken().Value))
		}
	}
	return errors.Join(problems...)
}

// durationPaths returns the YAML paths of all duration fields of a struct type
// and of the structs nested in it.
func durationPaths(prefix string, structType reflect.Type) (paths []string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		path := prefix + field.Tag.Get("yaml")
		switch {
		case field.Type == reflect.TypeOf(time.Duration(0)):
			paths = append(paths, path)
		case field.Type.Kind() == reflect.Struct:
			paths = append(paths, durationPaths(path+".", field.Type)...)
		}
	}
	return paths
}

// nodeAt returns the YAML node at a path, or nil if the file has none.
func nodeAt(file *ast.File, path string) ast.Node {
	query, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := query.FilterFile(file)
	if err != nil {
		return nil
	}
	return node
}

// check validates settings by their struct tags and locates each invalid field
// in text.
func check(settings any, text []byte) error {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	err := validate.Struct(settings)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	file, parseErr := parser.ParseBytes(text, 0)
	var problems []error
	for _, field := range invalid {
		_, path, _ := strings.Cut(field.Namespace(), ".")
		location := "not in the file"
		if parseErr == nil {
			location = lineOf(file, path)
		}
		problems = append(problems, fmt.Errorf("%s: %s is %q: %s", location, path, fmt.Sprint(field.Value()), describeRule(field)))
	}
	return errors.Join(problems...)
}

// lineOf describes the line on which a path is set.
func lineOf(file *ast.File, path string) string {
	node := nodeAt(file, path)
	if node == nil {
		return "not in the file"
	}
	return fmt.Sprintf("line %d", node.GetToken().Position.Line)
}

// describeRule describes in words what the rule that a field violates allows.
func describeRule(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "it must be set"
	case "required_with":
		return "it must be set together with " + strings.ToLower(field.Param())
	case "min":
		return "it must be " + field.Param() + " or more"
	case "max":
		return "it must be " + field.Param() + " or less"
	case "len":
		return "it must have " + field.Param() + " characters"
	case "hostname_port":
		return "it must be host:port"
	case "url":
		return "it must be a URL"
	case "hexadecimal":
		return "it must be hexadecimal"
	case "file":
		return "there is no such file"
	case "oneof":
		return "it must be one of " + field.Param()
	}
	return "it violates the rule " + field.Tag()
}
