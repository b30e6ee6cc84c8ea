package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/fleet"
)

// TestRoomFollowsTheServer plays a server that is asked for calls as long as its room lasts,
// and that is late, or turns calls away, beyond what it takes.
func TestRoomFollowsTheServer(t *testing.T) {
	const (
		slots = 32
		limit = 300 * time.Millisecond
		every = 50 * time.Millisecond
		// played is how long a scenario lasts, and settled from when on the room is looked at.
		played  = 20 * time.Second
		settled = 5 * time.Second
	)
	scenarios := []struct {
		name string
		// takes is how many calls it takes without being late, and holds how many before it
		// turns others away.
		takes int
		holds int
		// noise is the part of late answers whatever the number of calls.
		noise float64
		// low and high bound the mean of the calls that the room lets it have.
		low, high float64
	}{
		{name: "slow long before it is full", takes: 8, holds: slots, low: 5, high: 9},
		{name: "full before it is slow", takes: slots, holds: 12, low: 9, high: 13},
		{name: "noise alone", takes: slots, holds: slots, noise: 0.1, low: 0.9 * slots, high: slots},
		{name: "slow, with noise", takes: 8, holds: slots, noise: 0.1, low: 5, high: 9},
		{name: "neither", takes: slots, holds: slots, low: slots, high: slots},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			rooms := fleet.NewRooms()
			random := rand.New(rand.NewPCG(1, 2))
			sum, count := 0, 0
			for at := time.Duration(0); at < played; at += every {
				now := start.Add(at)
				calls := rooms.Of("s", slots, now)
				if calls == 0 {
					calls = slots
				}
				if at >= settled {
					sum += calls
					count++
				}
				if calls > scenario.holds {
					rooms.RecordFull("s", scenario.holds, slots, now)
					calls = scenario.holds
				}
				took := limit / 3
				if calls > scenario.takes || random.Float64() < scenario.noise {
					took = 2 * limit
				}
				rooms.RecordAnswer("s", fleet.TimedAnswer{Calls: calls, Slots: slots, Took: took, Limit: limit}, now)
			}
			if mean := float64(sum) / float64(count); mean < scenario.low || mean > scenario.high {
				t.Errorf("the room is %.1f calls, not from %.1f to %.1f", mean, scenario.low, scenario.high)
			}
		})
	}
}

// TestRoomIsFoundAgain guards against a server that is late once and gets less for good, also
// if no call goes there.
func TestRoomIsFoundAgain(t *testing.T) {
	rooms := fleet.NewRooms()
	for range 10 {
		rooms.RecordAnswer("s", fleet.TimedAnswer{Calls: 10, Slots: 16, Took: time.Second, Limit: time.Millisecond}, start)
	}
	if room := rooms.Of("s", 16, start); room == 0 || room > 8 {
		t.Errorf("the room of a late server with 10 calls is %d", room)
	}
	if room := rooms.Of("s", 16, start.Add(10*time.Second)); room != 0 {
		t.Errorf("the room after 10 seconds without calls is %d", room)
	}
}
