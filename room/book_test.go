package room_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/room"
)

var start = time.Unix(1000, 0)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet plays instances that ask a leader's book for permits, and the brittle servers that
// they send calls to, in virtual time.
type fleet struct {
	random *rand.Rand
	events eventQueue
	// books has the leader's book, or one for each instance without a leader.
	books     []*room.Book
	instances int
	latency   time.Duration
	callTime  time.Duration
	servers   []*server
	teams     []string
	// perSecond is the load, and lost the fraction of returned permits that are lost.
	perSecond float64
	lost      float64
	number    int64
	waiting   map[room.Key]bool
	// rooms has what a leader told of the servers' rooms last.
	rooms map[string]int
	// served and refused count calls after countFrom, falls and rejections all.
	countFrom time.Time
	served    map[string]int
	refused   int
	falls     int
	rejected  int
}

// server is a brittle server.
type server struct {
	id         string
	started    time.Time
	slots      int
	room       int
	rejections int
	running    int
	rejectedAt []time.Time
	downUntil  time.Time
	// permitted counts the calls under way by the book of their permits.
	permitted map[*room.Book]int
}

func newFleet(instances, servers, slots, rejections int) *fleet {
	f := &fleet{
		random:    rand.New(rand.NewPCG(1, uint64(instances))),
		books:     []*room.Book{{}},
		instances: instances,
		latency:   time.Millisecond,
		callTime:  60 * time.Millisecond,
		teams:     []string{"a"},
		waiting:   map[room.Key]bool{},
		rooms:     map[string]int{},
		served:    map[string]int{},
		countFrom: start,
	}
	for n := range servers {
		f.servers = append(f.servers, &server{id: fmt.Sprint("s", n), started: start, slots: slots, room: slots, rejections: rejections, permitted: map[*room.Book]int{}})
	}
	return f
}

func (f *fleet) after(now time.Time, delay time.Duration, do func(now time.Time)) {
	heap.Push(&f.events, event{at: now.Add(delay), do: do})
}

// play plays for a time.
func (f *fleet) play(length time.Duration) {
	end := start.Add(length)
	f.after(start, 0, f.arrive)
	f.after(start, 0, f.poll)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(event)
		next.do(next.at)
	}
}

// arrive lets a call of a team come in, and the next one later.
func (f *fleet) arrive(now time.Time) {
	f.after(now, time.Duration(f.random.ExpFloat64()/f.perSecond*float64(time.Second)), f.arrive)
	instance := f.random.IntN(f.instances)
	team := f.teams[min(f.random.IntN(10), len(f.teams)-1)]
	book := f.books[min(instance, len(f.books)-1)]
	f.number++
	key := room.Key{Owner: fmt.Sprint("i", instance), Number: f.number}
	f.after(now, f.delay(), func(now time.Time) {
		request := room.Request{Key: key, Team: team, Until: now.Add(250 * time.Millisecond), ExpiresAt: now.Add(4 * time.Second)}
		for _, n := range f.random.Perm(len(f.servers)) {
			s := f.servers[n]
			request.Servers = append(request.Servers, room.Server{ID: s.id, Started: s.started, Slots: s.slots, RejectionsPerSecond: float64(s.rejections), Room: f.rooms[s.id]})
		}
		f.waiting[key] = true
		grants, _, refused := book.Ask(request, now)
		f.send(book, grants, now)
		if refused {
			delete(f.waiting, key)
			f.refused++
		}
	})
}

// delay is how long a message takes.
func (f *fleet) delay() time.Duration {
	return f.latency + time.Duration(f.random.Int64N(int64(f.latency)))
}

// poll looks for permits that became free with time.
func (f *fleet) poll(now time.Time) {
	f.after(now, 2*time.Millisecond, f.poll)
	for _, book := range f.books {
		f.send(book, book.Next(now), now)
		if now.Sub(start)%(100*time.Millisecond) == 0 {
			if book.Share == 0 {
				for _, known := range book.Rooms() {
					f.rooms[known.Server] = known.Calls
				}
			}
			book.SetUnpermitted("others", f.unpermitted(book))
			book.KeepOwners(func(string) bool { return true }, func(string) bool { return true }, now)
		}
	}
}

// unpermitted counts the calls under way with permits of books that are gone.
func (f *fleet) unpermitted(book *room.Book) (counts map[string]int) {
	counts = map[string]int{}
	for _, s := range f.servers {
		for other, count := range s.permitted {
			if !slices.Contains(f.books, other) {
				counts[s.id] += count
			}
		}
		if book.Share > 0 {
			counts[s.id] = 0
		}
	}
	return counts
}

// send sends the calls that got permits.
func (f *fleet) send(book *room.Book, grants []room.Grant, now time.Time) {
	for _, grant := range grants {
		s := f.servers[slices.IndexFunc(f.servers, func(s *server) bool { return s.id == grant.Server })]
		f.after(now, 2*f.delay(), func(now time.Time) { f.take(book, grant, s, now) })
	}
}

// take lets a server take a call, or turn it away.
func (f *fleet) take(book *room.Book, grant room.Grant, s *server, now time.Time) {
	end := func(outcome room.Outcome) func(now time.Time) {
		return func(now time.Time) {
			if f.random.Float64() < f.lost {
				return
			}
			book.Return(grant.Key, outcome, now)
			f.send(book, book.Next(now), now)
		}
	}
	switch {
	case now.Before(s.downUntil):
		f.after(now, 2*f.delay(), end(room.Broken))
	case s.running >= s.room:
		f.rejected++
		s.rejectedAt = slices.DeleteFunc(append(s.rejectedAt, now), func(at time.Time) bool { return now.Sub(at) > time.Second })
		if len(s.rejectedAt) > s.rejections {
			f.fall(s, now)
		}
		f.after(now, 2*f.delay(), end(room.Rejected))
	default:
		s.running++
		s.permitted[book]++
		began := s.started
		f.after(now, f.callTime, func(now time.Time) {
			if s.started != began || now.Before(s.downUntil) {
				f.after(now, 2*f.delay(), end(room.Broken))
				return
			}
			s.running--
			s.permitted[book]--
			if now.After(f.countFrom) {
				f.served[s.id]++
			}
			f.after(now, 2*f.delay(), end(room.Served))
		})
	}
}

// fall lets a server fall over; it is back 3 s later.
func (f *fleet) fall(s *server, now time.Time) {
	f.falls++
	s.downUntil = now.Add(3 * time.Second)
	f.after(now, 3*time.Second, func(now time.Time) {
		s.started, s.running, s.rejectedAt = now, 0, nil
		clear(s.permitted)
	})
}

// shrink lets all servers have another room at a time.
func (f *fleet) setRoom(after time.Duration, size int) {
	f.after(start, after, func(time.Time) {
		for _, s := range f.servers {
			s.room = size
		}
	})
}

// share returns which part of what the servers had room for was served from countFrom on.
func (f *fleet) share(size int, until time.Duration) float64 {
	total := 0
	for _, count := range f.served {
		total += count
	}
	perSecond := min(f.perSecond, float64(len(f.servers)*size)/f.callTime.Seconds())
	return float64(total) / (perSecond * start.Add(until).Sub(f.countFrom).Seconds())
}

// mostServed is the part of what could be served that must be, at least.
const mostServed = 0.5

// scenario is a load on brittle servers, whose room changes after 3 s.
type scenario struct {
	name      string
	instances int
	// slots is what they are listed with, before and after is their room.
	slots, before, after int
	// load is relative to the room after the change.
	load    float64
	latency time.Duration
	lost    float64
	// change changes the fleet before it is played.
	change func(f *fleet)
}

// allowedFalls is how many falls of a number of servers are allowed.
func allowedFalls(servers int) int { return 2 + servers/10 }

// TestPermitsLetServersFall guards against permits for more than servers have room for,
// and against room that is not used.
func TestPermitsLetServersFall(t *testing.T) {
	playAll(t, []scenario{
		{name: "room that shrinks", instances: 6, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond},
		{name: "room that shrinks to one call", instances: 6, slots: 16, before: 16, after: 1, load: 1.6, latency: time.Millisecond},
		{name: "low load", instances: 6, slots: 16, before: 16, after: 3, load: 0.5, latency: time.Millisecond},
		{name: "79 instances", instances: 79, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond},
		{name: "195 instances", instances: 195, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond},
		{name: "slow messages", instances: 79, slots: 16, before: 16, after: 3, load: 1.6, latency: 3 * time.Millisecond},
		{name: "lost messages", instances: 79, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond, lost: 0.002},
	}, []int{1, 3, 20})
}

// TestServersThatStandFewRejectionsAreUsedLittle guards against calls that are rejected
// although servers have room for them, as these stand few rejections.
func TestServersThatStandFewRejectionsAreUsedLittle(t *testing.T) {
	playAll(t, []scenario{
		{name: "many short calls", instances: 6, slots: 8, before: 8, after: 8, load: 1.6, latency: time.Millisecond},
		{name: "room that grows", instances: 6, slots: 16, before: 3, after: 16, load: 1.6, latency: time.Millisecond},
		{name: "very slow messages", instances: 79, slots: 16, before: 16, after: 3, load: 1.6, latency: 8 * time.Millisecond},
	}, []int{1, 2, 3})
}

// TestLostLeaderLetsServersFall guards against instances that send more than servers have
// room for when their leader is lost, or a new one knows nothing of the calls under way.
func TestLostLeaderLetsServersFall(t *testing.T) {
	begin := func(f *fleet, books int) func(time.Time) {
		return func(now time.Time) {
			f.books = nil
			for n := range books {
				book := &room.Book{OpenAt: now.Add(500 * time.Millisecond)}
				if books > 1 {
					book.Share, book.Phase = 1/float64(books), float64(n)/float64(books)
				}
				f.books = append(f.books, book)
			}
		}
	}
	replaced := func(f *fleet) {
		f.after(start, 8*time.Second, begin(f, 1))
		f.after(start, 14*time.Second, begin(f, 1))
	}
	lost := func(f *fleet) {
		f.after(start, 8*time.Second, begin(f, f.instances))
		f.after(start, 14*time.Second, begin(f, 1))
	}
	// Without a leader little is served.
	playFalls(t, []scenario{
		{name: "a new leader", instances: 6, slots: 8, before: 8, after: 8, load: 1.6, latency: time.Millisecond, change: replaced},
		{name: "a new leader after the room fell", instances: 6, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond, change: replaced},
		{name: "a new leader of 79", instances: 79, slots: 16, before: 16, after: 3, load: 1.6, latency: time.Millisecond, change: replaced},
		{name: "no leader for 6 s", instances: 6, slots: 8, before: 8, after: 8, load: 1.6, latency: time.Millisecond, change: lost},
		{name: "no leader of 79 for 6 s", instances: 79, slots: 8, before: 8, after: 8, load: 1.6, latency: time.Millisecond, change: lost},
	}, []int{1, 3, 8})
}

// TestTeamTakesAllPermits guards against a team whose many requests keep those of others
// from their permits.
func TestTeamTakesAllPermits(t *testing.T) {
	book := &room.Book{}
	server := room.Server{ID: "s", Started: start, Slots: 1, RejectionsPerSecond: 20}
	granted := map[string]int{}
	owners := map[int64]string{}
	number := int64(0)
	var held []room.Key
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(10 * time.Millisecond) {
		for _, key := range held {
			book.Return(key, room.Served, now)
		}
		held = nil
		grants := book.Next(now)
		for _, team := range []string{"a", "a", "a", "a", "a", "a", "a", "a", "a", "b"} {
			number++
			owners[number] = team
			more, _, _ := book.Ask(room.Request{
				Key:       room.Key{Owner: "i", Number: number},
				Team:      team,
				Servers:   []room.Server{server},
				Until:     now.Add(100 * time.Millisecond),
				ExpiresAt: now.Add(time.Second),
			}, now)
			grants = append(grants, more...)
		}
		for _, grant := range grants {
			granted[owners[grant.Key.Number]]++
			held = append(held, grant.Key)
		}
	}
	if total := granted["a"] + granted["b"]; granted["b"]*5 < total*2 {
		t.Errorf("the team with few requests got %d of %d permits", granted["b"], total)
	}
}

// playAll plays scenarios with servers that stand numbers of rejections a second, and checks
// that they don't fall and are used.
func playAll(t *testing.T, scenarios []scenario, rejections []int) {
	play(t, scenarios, rejections, mostServed)
}

// playFalls is playAll without a check that servers are used.
func playFalls(t *testing.T, scenarios []scenario, rejections []int) {
	play(t, scenarios, rejections, 0)
}

func play(t *testing.T, scenarios []scenario, rejections []int, least float64) {
	for _, scenario := range scenarios {
		for _, rejections := range rejections {
			t.Run(fmt.Sprint(scenario.name, ", N ", rejections), func(t *testing.T) {
				t.Parallel()
				const servers, length = 8, 20 * time.Second
				f := newFleet(scenario.instances, servers, scenario.slots, rejections)
				f.latency, f.lost = scenario.latency, scenario.lost
				f.perSecond = scenario.load * servers * float64(scenario.after) / f.callTime.Seconds()
				if scenario.change != nil {
					scenario.change(f)
				}
				f.setRoom(0, scenario.before)
				f.setRoom(3*time.Second, scenario.after)
				f.countFrom = start.Add(3 * time.Second)
				f.play(length)
				share := f.share(scenario.after, length)
				t.Logf("%d falls, %d rejections, %.2f served", f.falls, f.rejected, share)
				if f.falls > allowedFalls(servers) {
					t.Errorf("%d falls, allowed %d", f.falls, allowedFalls(servers))
				}
				if share < least {
					t.Errorf("%.2f of what could be served was, want %.2f", share, least)
				}
			})
		}
	}
}
