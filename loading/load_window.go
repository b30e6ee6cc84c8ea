package loading

import (
	"math"
	"time"
)

const (
	// minInitialLoads and initialLoadsPerWorker give the number of loads that the
	// whole fleet starts with: low enough for the slowest weight store in use.
	minInitialLoads       = 8.0
	initialLoadsPerWorker = 0.2
	// minWindow is the smallest window: one load at a time still shows whether
	// the store has become faster.
	minWindow = 1.0
	// fastGrowth is what a load on time adds to a full window until the first late
	// load. Afterwards a whole window of such loads adds slowGrowth and the
	// fraction slowGrowthFraction of the window.
	fastGrowth         = 0.5
	slowGrowth         = 0.25
	slowGrowthFraction = 0.03
	// A late load shrinks the window by how much longer than at full speed it took,
	// within these bounds.
	maxShrinkFactor = 0.8
	minShrinkFactor = 0.5
)

// loadWindow limits how many adapters a domain loads from the weight store at
// the same time. The store runs some number of loads of all domains at full
// speed and slows all of them down beyond it. That number isn't published, so
// the window is learned as in congestion control: it grows while loads are on
// time although the window is full, and shrinks when one is late.
//
// For load: more adapters asked for at once than workers have cached.
type loadWindow struct {
	// size is the number of loads while the leaders of all domains give orders; 0
	// until it is initialized.
	size float64
	// initial is the size that it starts with.
	initial float64
	// fullAt is when a load last had to wait for others.
	fullAt time.Time
	// lateSeen is set from the first late load.
	lateSeen bool
	// settledAt is when the loads that were in flight at the last shrink, and slow
	// down those after them, have ended.
	settledAt time.Time
}

// initialize sets the size for a number of workers in each of some domains,
// once.
func (w *loadWindow) initialize(workers, domains int) {
	if w.size > 0 || workers == 0 {
		return
	}
	w.initial = max(minInitialLoads, initialLoadsPerWorker*float64(workers*domains)) / float64(domains)
	w.size = w.initial
}

// isSafe reports whether the window is so small that every weight store in use runs
// its loads at full speed.
func (w *loadWindow) isSafe() bool { return w.size <= w.initial }

// limit returns the number of loads that may be in flight. The domains whose
// leader is active share what the others don't use.
func (w *loadWindow) limit(domains, activeLeaders int) float64 {
	if activeLeaders <= 0 || activeLeaders > domains {
		activeLeaders = domains
	}
	return max(minWindow, math.Ceil(w.size*float64(domains)/float64(activeLeaders)))
}

// recordOnTime records a load that took the expected time. It shows that the
// window is small enough, and that it may grow if others had to wait meanwhile.
func (w *loadWindow) recordOnTime(orderedAt time.Time) {
	if w.fullAt.Before(orderedAt) {
		return
	}
	if w.lateSeen {
		w.size += slowGrowth/w.size + slowGrowthFraction
		return
	}
	w.size += fastGrowth
}

// relearn learns the size anew after the time at full speed turned out to be longer.
// Loads that were ordered before now say nothing about the size.
func (w *loadWindow) relearn(now time.Time) {
	w.lateSeen = false
	w.settledAt = now
}

// recordLate records a load that took longer than fullSpeedTime. Loads that were
// ordered before the last shrink took effect say nothing about the present size.
func (w *loadWindow) recordLate(orderedAt, now time.Time, fullSpeedTime time.Duration) {
	if orderedAt.Before(w.settledAt) {
		return
	}
	w.lateSeen = true
	w.settledAt = now.Add(fullSpeedTime)
	factor := fullSpeedTime.Seconds() / now.Sub(orderedAt).Seconds()
	w.size = max(minWindow, w.size*min(maxShrinkFactor, max(minShrinkFactor, factor)))
}
