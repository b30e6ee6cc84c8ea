// Command standins runs the cases of the review that are scripts: it starts fronts as
// separate processes between stand-ins of clients, workers and the platform's store, and
// checks one rule of the users' pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// options are those of all cases.
type options struct {
	// program is the program of the deploy file.
	program string
	// trouble is set if the disruption takes place.
	trouble bool
	// directory is that of the settings and logs of the fronts.
	directory string
}

// cases maps the names of the cases to what runs them. A case reports how often its rule
// was broken.
var cases = map[string]func(o options, log *record) (broken int, err error){
	"second-version": secondVersion,
}

func main() { os.Exit(run()) }

func run() (code int) {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/pomelospringd", "program of the fronts")
	trouble := flag.Bool("trouble", true, "let the disruption take place")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitCannotRun
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer log.close()
	broken, err := play(options{
		program:   absolute,
		trouble:   *trouble,
		directory: directory,
	}, log)
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		return exitCannotRun
	case broken > 0:
		log.printf("the rule was broken %d times", broken)
		return exitBroken
	}
	log.printf("the rule held")
	return exitHeld
}
