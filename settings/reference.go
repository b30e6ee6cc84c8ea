package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// WriteReference writes the reference page of all settings as Markdown.
func WriteReference(out io.Writer) {
	_, _ = fmt.Fprint(out, `# Settings

Made by `+"`pomelospringd reference`"+` from the struct in settings/settings.go;
a test keeps it in step. Unknown fields and values out of range are refused
with line, field and what is allowed; `+"`pomelospringd check -settings FILE`"+`
does so without starting anything.

| field | default | allowed | meaning |
| --- | --- | --- | --- |
`)
	writeStruct(out, "", reflect.ValueOf(*Default()))
	_, _ = fmt.Fprint(out, `
## On the users' platform

For `+"`pomelospringd front`"+`; deploy/settings.yaml is the platform's template of
this file. `+"`pomelospringd check -front -settings FILE`"+` checks one.

| field | default | allowed | meaning |
| --- | --- | --- | --- |
`)
	writeStruct(out, "", reflect.ValueOf(*DefaultFront()))
}

// writeStruct writes one table row for each field of a settings struct and of
// the structs nested in it. The prefix is the path of the struct.
func writeStruct(out io.Writer, prefix string, value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			_, _ = fmt.Fprintf(out, "| **%s** | | | %s |\n", name, field.Tag.Get("doc"))
			writeStruct(out, name+".", value.Field(i))
			continue
		}
		writeField(out, name, field, value.Field(i))
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			writeStruct(out, name+"[].", reflect.Zero(field.Type.Elem()))
		}
	}
}

// writeField writes one table row: path, default, validation rule and meaning.
func writeField(out io.Writer, name string, field reflect.StructField, value reflect.Value) {
	defaultValue := fmt.Sprint(value.Interface())
	if value.IsZero() {
		defaultValue = ""
	}
	rule := strings.ReplaceAll(field.Tag.Get("validate"), ",", ", ")
	_, _ = fmt.Fprintf(out, "| %s | %s | %s | %s |\n", name, defaultValue, rule, field.Tag.Get("doc"))
}
