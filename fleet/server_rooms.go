package fleet

import "time"

// RecordTimedAnswer records how long a server took for an answer, or for a part of one.
func (b *Board) RecordTimedAnswer(server string, answer TimedAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, found := b.servers[server]; found && answer.Limit > 0 {
		answer.Slots = listed.Slots
		b.rooms.RecordAnswer(server, answer, now)
	}
}

// RecordRejection records that a server turned a call away for lack of room, while it had
// a number of others.
func (b *Board) RecordRejection(server string, calls int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed, found := b.servers[server]; found {
		b.rooms.RecordFull(server, calls, listed.Slots, now)
	}
}
