package pomelospring

import "fmt"

// Annotate wraps *err with context if it is set. Defer it once at the top of a
// function with a named error result.
func Annotate(err *error, format string, args ...any) {
	if *err == nil {
		return
	}
	*err = fmt.Errorf(format+": %w", append(args, *err)...)
}
