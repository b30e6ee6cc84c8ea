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

// Read reads and checks a settings file.
func Read(path string) (settings *Settings, err error) {
	defer pomelospring.Annotate(&err, "settings %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse reads and checks settings. An error names the line, the field and what
// is allowed.
func Parse(text []byte) (settings *Settings, err error) {
	settings = Default()
	if err = parse(text, settings); err != nil {
		return nil, err
	}
	return settings, nil
}

// ReadFront reads and checks the settings file of an instance behind the
// users' balancer.
func ReadFront(path string) (settings *Front, err error) {
	defer pomelospring.Annotate(&err, "settings %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFront(text)
}

// ParseFront reads and checks settings of an instance behind the users' balancer.
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

// parse fills in a pointer to a settings struct and checks it.
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

// checkDurations looks for spans of time that can't be read: the decoder's own
// error for them names neither line nor field.
func checkDurations(text []byte, kind reflect.Type) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		// The decoder reports it, with its place.
		return nil
	}
	var problems []error
	for _, path := range durationPaths("", kind) {
		node := nodeAt(file, path)
		if node == nil {
			continue
		}
		if _, err := time.ParseDuration(node.GetToken().Value); err != nil {
			problems = append(problems, fmt.Errorf("line %d: %s is %q: it must be a span of time such as 10s", node.GetToken().Position.Line, path, node.GetToken().Value))
		}
	}
	return errors.Join(problems...)
}

func durationPaths(prefix string, kind reflect.Type) (paths []string) {
	for i := range kind.NumField() {
		field := kind.Field(i)
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
		where := "not in the file"
		if parseErr == nil {
			where = lineOf(file, path)
		}
		problems = append(problems, fmt.Errorf("%s: %s is %q: %s", where, path, fmt.Sprint(field.Value()), allowed(field)))
	}
	return errors.Join(problems...)
}

func lineOf(file *ast.File, path string) string {
	node := nodeAt(file, path)
	if node == nil {
		return "not in the file"
	}
	return fmt.Sprintf("line %d", node.GetToken().Position.Line)
}

// allowed says in words what a rule allows.
func allowed(field validator.FieldError) string {
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
	return "it breaks the rule " + field.Tag()
}
