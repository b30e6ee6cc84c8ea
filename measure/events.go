package measure

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; ties keep their order.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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

func (w *world) after(wait time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{
		at:    w.now + wait,
		order: w.order,
		run:   run,
	})
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }
