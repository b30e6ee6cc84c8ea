package main

import (
	"fmt"
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
)

const (
	// unreadableLimit is what servers name here, less than what the callers of one
	// machine ask for.
	unreadableLimit    = 20
	unreadableInterval = 3 * time.Millisecond
	unreadableMachines = 3
	unreadableBefore   = 12 * time.Second
	unreadableAfter    = 20 * time.Second
	// unreadableName is the name of an entry with bytes that are no text.
	unreadableName = "i-\xff\xfe"
)

// playUnreadableEntry writes one entry that can't be read beside those of the servers, while
// servers name a limit and callers ask for more.
func playUnreadableEntry(record *fleet3.Record) (broken bool, verdict string, err error) {
	f, err := fleet3.New(record)
	if err != nil {
		return false, "", err
	}
	defer f.Close()
	l := &limitedServers{arrivals: map[string][]arrival{}, perSecond: unreadableLimit}
	if err = startLimited(f, l, unreadableMachines); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	go sendHistories(f, unreadableInterval, stop)
	began := record.Age()
	time.Sleep(unreadableBefore)
	if fleet3.Trouble() {
		record.Add("another writer: entry %q of a service that no route names", unreadableName)
		f.Store.Put("keyed.servers", unreadableName, fmt.Appendf(nil, `{"service":"other-app","address":"127.0.0.1:9","zone":%q,"version":"1","slots":6,"state":"ready","cold-left-ms":0,"seq":0,"born":1}`, fleet3.Zones[0]))
	}
	time.Sleep(unreadableAfter)
	close(stop)
	return l.judge("", began+2*touchTime)
}
