package pomelospring

import "fmt"

// Annotate adds context to *err when it is set. It is meant for one deferred
// call at the top of a function with a named error result.
func Annotate(err *error, format string, args ...any) {
	if *err == nil {
		return
	}
	*err = fmt.Errorf(format+": %w", append(args, *err)...)
}
