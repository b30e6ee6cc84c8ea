// Program case3 plays one case of the third review: case3 NUMBER, run in the repository.
// It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pomelospring/pomelospring/review/fleet3"
)

const (
	exitHeld = iota
	exitBroken
	exitUnplayed
)

// play plays a case and reports whether its rule was broken, and by what.
type play func(record *fleet3.Record) (broken bool, verdict string, err error)

var cases = map[string]play{
	"11": playSlashes,
	"12": playCrashingPart,
	"13": playLimit,
	"14": playUnreadableEntry,
}

func main() { os.Exit(run()) }

func run() (exit int) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case3 NUMBER")
		return exitUnplayed
	}
	record, err := fleet3.NewRecord(recordPath(os.Args[1]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnplayed
	}
	defer record.Close()
	broken, verdict, err := cases[os.Args[1]](record)
	if err != nil {
		verdict = "not played: " + err.Error()
	}
	record.Add("%s", verdict)
	fmt.Println(verdict)
	switch {
	case err != nil:
		return exitUnplayed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// recordPath is where the record of a case goes; RECORD names another file.
func recordPath(number string) string {
	if path := os.Getenv("RECORD"); path != "" {
		return path
	}
	return filepath.Join("review", number, "record.txt")
}
