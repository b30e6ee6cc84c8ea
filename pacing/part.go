package pacing

import (
	"math"
	"time"

	"github.com/pomelospring/pomelospring"
)

// Share is what one of several instances takes of a rate that they divide.
type Share struct {
	// PerSecond is the rate of all parts together.
	PerSecond float64
	// Parts is the number of instances, and Phase the instance's place among them, from 0
	// to 1.
	Parts int
	Phase float64
}

// Part gives out one instance's turns of servers whose rate several instances divide
// without a message: their turns follow one another by their places, counted back from a
// time that all know. It is not safe for concurrent use.
type Part struct {
	// last has the last turn given out, by server.
	last map[string]time.Time
}

// Reserve gives out the next turn of a server before end, unless it is later than latest.
func (p *Part) Reserve(server string, share Share, end, latest, now time.Time) pomelospring.Reservation {
	interval := float64(time.Second) / share.PerSecond
	cycle := time.Duration(float64(share.Parts) * interval)
	earliest := now
	// The time that all know may differ a little from call to call.
	if last, found := p.last[server]; found && last.Add(cycle/2).After(now) {
		earliest = last.Add(cycle / 2)
	}
	final := end.Add(-time.Duration((share.Phase*float64(share.Parts) + 1) * interval))
	at := final.Add(-time.Duration(math.Floor(float64(final.Sub(earliest))/float64(cycle))) * cycle)
	if at.After(end) {
		at = end
	}
	if !at.Before(end) || at.After(latest) {
		return pomelospring.Reservation{
			At:     at,
			NextAt: at,
		}
	}
	p.record(server, at, now)
	next := at.Add(cycle)
	if next.After(end) {
		next = end
	}
	return pomelospring.Reservation{
		Granted: true,
		At:      at,
		NextAt:  next,
	}
}

// record records a turn, and forgets those that have passed if there are too many.
func (p *Part) record(server string, at, now time.Time) {
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	if len(p.last) >= maxServers {
		for id, last := range p.last {
			if last.Before(now) {
				delete(p.last, id)
			}
		}
	}
	p.last[server] = at
}
