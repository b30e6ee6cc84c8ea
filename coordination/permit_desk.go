package coordination

import (
	"context"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/room"
)

const (
	// permitPollInterval is the time between looks for permits that became free with time.
	permitPollInterval = 2 * time.Millisecond
	// permitHandoverTime is how long a new leader, or an instance that lost its leader, gives
	// out no permits: until it is known which calls run with those of others.
	permitHandoverTime = 500 * time.Millisecond
)

// permitDesk gives out the permits of a book to the requests that wait for them.
type permitDesk struct {
	mu   sync.Mutex
	book room.Book
	// granted has a channel for each request that waits, which receives the server.
	granted map[room.Key]chan string
	// askedAt is when instances asked last.
	askedAt map[string]time.Time
	// polledAt is when the last look for free permits was.
	polledAt time.Time
}

// reset begins with an empty book. Requests that wait get no permit.
func (d *permitDesk) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book = room.Book{
		OpenAt: time.Now().Add(permitHandoverTime),
	}
	d.askedAt = nil
}

// ask asks for a permit and waits for it as long as the request says. Without one, server
// is empty and retryAt is when one is likely to be free.
func (d *permitDesk) ask(ctx context.Context, request room.Request) (server string, retryAt time.Time) {
	granted := make(chan string, 1)
	refused := false
	d.change(func(now time.Time) (grants []room.Grant) {
		if d.granted == nil {
			d.granted = map[room.Key]chan string{}
		}
		if d.askedAt == nil {
			d.askedAt = map[string]time.Time{}
		}
		d.askedAt[request.Key.Owner] = now
		d.granted[request.Key] = granted
		grants, retryAt, refused = d.book.Ask(request, now)
		return grants
	})
	defer d.forget(request.Key)
	for !refused {
		select {
		case server = <-granted:
			return server, time.Time{}
		case <-ctx.Done():
			d.giveBack(request.Key, room.Unsent)
			return "", retryAt
		case <-time.After(permitPollInterval):
		}
		refused = d.poll(request)
	}
	select {
	case server = <-granted:
	default:
	}
	return server, retryAt
}

// poll looks for permits that became free with time, and reports whether a request has
// waited for long enough.
func (d *permitDesk) poll(request room.Request) (ended bool) {
	d.change(func(now time.Time) (grants []room.Grant) {
		ended = now.After(request.Until)
		if now.Sub(d.polledAt) < permitPollInterval && !ended {
			return nil
		}
		d.polledAt = now
		return d.book.Next(now)
	})
	return ended
}

// forget ends the wait of a request.
func (d *permitDesk) forget(key room.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.granted, key)
	d.book.Withdraw(key)
}

// giveBack ends a permit.
func (d *permitDesk) giveBack(key room.Key, outcome room.Outcome) {
	d.change(func(now time.Time) []room.Grant {
		d.book.Return(key, outcome, now)
		return d.book.Next(now)
	})
}

// change changes the book and passes the permits on that it grants.
func (d *permitDesk) change(change func(now time.Time) (grants []room.Grant)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, grant := range change(now) {
		granted := d.granted[grant.Key]
		if granted == nil {
			d.book.Return(grant.Key, room.Unsent, now)
			continue
		}
		granted <- grant.Server
	}
}

// setUnpermitted records how many calls without a permit an instance has at servers.
func (d *permitDesk) setUnpermitted(instance string, counts map[string]int) {
	d.change(func(now time.Time) []room.Grant {
		if d.book.Empty() {
			return nil
		}
		d.book.SetUnpermitted(instance, counts)
		return d.book.Next(now)
	})
}

// setShare sets the part of the servers' room that the desk may give out.
func (d *permitDesk) setShare(share, phase float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Share, d.book.Phase = share, phase
}

// maintain forgets what instances held that are not live, and servers that are not
// brittle, and returns the room of the others.
func (d *permitDesk) maintain(isLive func(instance string, askedAt time.Time) bool, isBrittle func(server string) bool) (rooms []room.Room) {
	d.change(func(now time.Time) []room.Grant {
		if d.book.Empty() {
			return nil
		}
		live := func(instance string) bool { return isLive(instance, d.askedAt[instance]) }
		d.book.KeepOwners(live, isBrittle, now)
		for instance := range d.askedAt {
			if !live(instance) {
				delete(d.askedAt, instance)
			}
		}
		rooms = d.book.Rooms()
		return d.book.Next(now)
	})
	return rooms
}
