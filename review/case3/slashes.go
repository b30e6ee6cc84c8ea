package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
	"github.com/pomelospring/pomelospring/standin"
)

const slashCalls = 20

// playSlashes sends requests on a route whose prefix is one slash, to paths that begin with
// two of them, or without the trouble with one.
func playSlashes(record *fleet3.Record) (broken bool, verdict string, err error) {
	f, err := fleet3.New(record)
	if err != nil {
		return false, "", err
	}
	defer f.Close()
	configuration := plainConfiguration()
	route := configuration["routes"].([]any)[0].(map[string]any)
	route["path-prefix"] = "/"
	if err = f.Configure(configuration); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	ran := map[string]string{}
	w := &fleet3.Worker{ID: "i-1", Service: "cis-app", Zone: fleet3.Zones[0], Slots: 6, Work: 20 * time.Millisecond}
	w.OnRun = func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get(standin.HeaderRequestID)] = r.RequestURI
		return false
	}
	if err = w.Begin(f); err != nil {
		return false, "", err
	}
	i, err := f.Add(fleet3.Zones[0])
	if err != nil {
		return false, "", err
	}
	if err = i.AwaitReady(); err != nil {
		return false, "", err
	}
	prefix := "/"
	if fleet3.Trouble() {
		prefix = "//"
	}
	sent := map[string]string{}
	for n := range slashCalls {
		id := "order-" + strconv.Itoa(n)
		sent[id] = prefix + "crews/" + strconv.Itoa(n)
		status, _ := i.Send(fleet3.Call{ID: id, Method: http.MethodPost, Path: sent[id], Body: id})
		record.Add("caller: %s sent to %s %s, answer %d", id, i.Name, sent[id], status)
	}
	mu.Lock()
	defer mu.Unlock()
	changed, example := 0, ""
	for id, target := range ran {
		if target != sent[id] {
			changed++
			example = fmt.Sprintf("; the caller of %s asked for %s, and the server ran %s", id, sent[id], target)
		}
	}
	return changed > 0, fmt.Sprintf("UNASKED: of %d requests that ran, %d ran with another path%s", len(ran), changed, example), nil
}
