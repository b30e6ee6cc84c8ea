package measure

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time. Events with the same time run
// in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap with the earliest event on top.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules a function to run after a wait in virtual time.
func (s *simulation) after(wait time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{
		at:       s.now + wait,
		sequence: s.sequence,
		run:      run,
	})
}

// clock returns the virtual time as a wall-clock time.
func (s *simulation) clock() time.Time { return virtualStart.Add(s.now) }
