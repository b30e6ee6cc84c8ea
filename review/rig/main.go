// Command rig shows cases of the second review: it starts processes of the real program on
// loopback addresses, between stand-ins of clients, workers and the platform's store, and
// exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// playTime bounds a case.
const playTime = 106 * time.Second

// verdict is what a case found.
type verdict struct {
	broken bool
	reason string
}

// cases has the cases by name. trouble says whether the disruption is played.
var cases = map[string]func(ctx context.Context, r *rig, trouble bool) (verdict, error){
	"deadly":  playDeadly,
	"upgrade": playUpgrade,
	"stop":    playStop,
	"takeup":  playTakeUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes its record into a folder.
func play(name, folder string) (code int) {
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %v", name, trouble)
	r, err := newRig(record)
	if err != nil {
		record.add("could not run: %v", err)
		return exitCannotRun
	}
	defer r.end()
	// Whatever a case does, its processes end in time.
	overdue := time.AfterFunc(playTime, func() {
		r.end()
		os.Exit(exitCannotRun)
	})
	defer overdue.Stop()
	found, err := cases[name](ctx, r, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		record.add("could not run: %v", err)
		return exitCannotRun
	}
	if err = r.checkFronts(); err != nil {
		record.add("could not run: %v", err)
		return exitCannotRun
	}
	record.add("broken: %v: %s", found.broken, found.reason)
	fmt.Printf("%s: broken: %v: %s\n", name, found.broken, found.reason)
	if found.broken {
		return exitBroken
	}
	return exitHeld
}
