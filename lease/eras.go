package lease

import "time"

// Eras tracks the store's era. The store forgets memberships when it is restored from
// a copy, so leases of the era before may be valid although the store knows nothing of
// them. They were renewed before the restore, which bounds how long.
type Eras struct {
	known bool
	era   int64
	// since is when the era had begun at the latest.
	since time.Duration
}

// SettledAge is the age of an era in which no lease of an earlier one is valid.
const SettledAge = time.Hour

// Observe records that the store was in an era since a time, and reports whether a
// lower era was known. settled says that no lease of an earlier era can exist.
func (e *Eras) Observe(era int64, since, now time.Duration, settled bool) (before int64, rose bool) {
	if settled || era == 0 {
		since = now - SettledAge
	}
	before = e.era
	switch {
	case e.known && era < e.era:
	case e.known && era == e.era:
		e.since = min(e.since, since)
	default:
		rose = e.known
		e.known, e.era, e.since = true, era, since
	}
	return before, rose
}

// Current returns the era and its age, at most SettledAge.
func (e *Eras) Current(now time.Duration) (era int64, age time.Duration) {
	return e.era, min(SettledAge, now-e.since)
}

// OrdersFrom returns when the leases of earlier eras have ended for at least the
// handover time.
func (e *Eras) OrdersFrom(handoverTime time.Duration) time.Duration {
	return e.since + validity + maxOrderFlightTime + handoverTime
}
