package fleet

import "time"

const (
	// lateWeight is the weight of one answer in the smoothed part of late ones, and
	// maxLatePart the part from which a server has more calls than it takes.
	lateWeight  = 0.25
	maxLatePart = 0.5
	// roomDecrease is what is left of the calls at a server that has too many, and
	// minRoomInterval the shortest time between two decreases.
	roomDecrease    = 0.8
	minRoomInterval = 500 * time.Millisecond
	// roomGrowth is by how many calls a room grows each second while it isn't reached.
	roomGrowth = 1.0
	// minCrowd is the number of calls from which late answers show that there are too many.
	minCrowd = 2
)

// Rooms learns how many calls servers take without becoming late. It is not safe for
// concurrent use.
type Rooms struct {
	servers map[string]*serverRoom
}

// serverRoom is what is known of one server.
type serverRoom struct {
	// calls is its room as of updatedAt; 0 for unknown.
	calls     float64
	updatedAt time.Time
	// latePart is the smoothed part of late answers.
	latePart  float64
	loweredAt time.Time
}

// NewRooms returns rooms of servers of which nothing is known.
func NewRooms() *Rooms {
	return &Rooms{
		servers: map[string]*serverRoom{},
	}
}

// TimedAnswer is how long a server with a number of calls and slots took for something.
type TimedAnswer struct {
	Calls int
	Slots int
	Took  time.Duration
	// Limit is how long it may take without being late.
	Limit time.Duration
}

// RecordAnswer takes in an answer of a server.
func (r *Rooms) RecordAnswer(server string, answer TimedAnswer, now time.Time) {
	room := r.servers[server]
	late := answer.Took > answer.Limit
	if room == nil {
		if !late {
			return
		}
		room = &serverRoom{}
		r.servers[server] = room
	}
	room.grow(now)
	if late {
		room.latePart += (1 - room.latePart) * lateWeight
		if room.latePart > maxLatePart {
			room.lower(answer.Calls, now)
		}
	} else {
		room.latePart *= 1 - lateWeight
		if room.calls > 0 && float64(answer.Calls) >= room.calls-1 {
			room.calls += 1 / room.calls
		}
	}
	r.forgetUnbounded(server, answer.Slots)
}

// RecordFull takes in that a server with a number of slots turned a call away while it had
// a number of others.
func (r *Rooms) RecordFull(server string, calls, slots int, now time.Time) {
	if calls < 1 || calls >= slots {
		return
	}
	room := r.servers[server]
	if room == nil {
		room = &serverRoom{}
		r.servers[server] = room
	}
	room.calls = float64(calls)
	room.updatedAt = now
}

// Of returns how many calls a server with a number of slots takes; 0 if unknown.
func (r *Rooms) Of(server string, slots int, now time.Time) (calls int) {
	room := r.servers[server]
	if room == nil || room.calls == 0 {
		return 0
	}
	if calls = int(room.calls + room.grown(now)); calls >= slots {
		return 0
	}
	return max(1, calls)
}

// Forget drops what is known of a server.
func (r *Rooms) Forget(server string) {
	delete(r.servers, server)
}

// forgetUnbounded drops a server whose room is its slots or more, and that isn't late.
func (r *Rooms) forgetUnbounded(server string, slots int) {
	room := r.servers[server]
	if room.calls >= float64(slots) {
		room.calls = 0
	}
	if room.calls == 0 && room.latePart < lateWeight/2 {
		delete(r.servers, server)
	}
}

// grown returns by how much the room grew since it was updated.
func (r *serverRoom) grown(now time.Time) float64 {
	return roomGrowth * max(0, now.Sub(r.updatedAt).Seconds())
}

func (r *serverRoom) grow(now time.Time) {
	if r.calls > 0 {
		r.calls += r.grown(now)
	}
	r.updatedAt = now
}

// lower reduces the room of a server that is late with a number of calls.
func (r *serverRoom) lower(calls int, now time.Time) {
	if calls < minCrowd || now.Sub(r.loweredAt) < minRoomInterval {
		return
	}
	crowd := float64(calls)
	if r.calls > 0 {
		crowd = min(crowd, r.calls)
	}
	r.calls = max(1, crowd*roomDecrease)
	r.loweredAt = now
}
