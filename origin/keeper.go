package origin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// minWriteInterval is the shortest time between writes of one instance, and
	// writeIntervalPerInstance what each instance adds to it, so that the store's one
	// partition takes the writes of any number of instances.
	minWriteInterval         = 150 * time.Millisecond
	writeIntervalPerInstance = 5 * time.Millisecond
	// restartMargin is how far the clocks of a server and an instance may differ.
	restartMargin = 2 * time.Second
	// lookupTimeout bounds the question to the store where a stream began, for which a
	// call waits; maxLookupForOthers is the same for the calls of other instances.
	lookupTimeout      = 500 * time.Millisecond
	maxLookupForOthers = 250 * time.Millisecond
	// listDelay is how long after another instance a server is listed here at the latest.
	listDelay = 2 * time.Second
	// maxCallBytes bounds the ID of a call whose stream can be taken up, as a key of the
	// store.
	maxCallBytes = 255
	// readTimeout bounds a read of the store's whole history.
	readTimeout = 10 * time.Second
	// recordDelay is how long after it was written a start can be read at the latest,
	// unless the store is slow.
	recordDelay = 150 * time.Millisecond
)

// askAgainAfter is how long after an answer that a start is not known the question is asked
// again: a caller that takes a stream up at once may overtake the word of its start.
var askAgainAfter = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond}

// Keeper writes the starts of streams to the store while servers of several software
// versions serve, and finds those that other instances wrote.
type Keeper struct {
	Store    pomelospring.OriginStore
	Register *Register
	// Directory has the instances that keep starts for the others.
	Directory pomelospring.StreamDirectory
	Board     *fleet.Board
	// LeadsAny reports whether this instance leads a failure domain, and so records the
	// software versions of the services.
	LeadsAny func() bool
	// Instances returns the number of instances.
	Instances func() int
	// FirstFleetStart says that the whole fleet is starting for the first time, so that
	// nothing is recorded yet.
	FirstFleetStart bool
	Logger          log.Interface
	Clock           pomelospring.Clock
	// Uptime is a clock that keeps running while the process is suspended; without it,
	// suspensions are not noticed.
	Uptime func() time.Duration

	// recorded has the software versions that the store has, by service.
	recorded map[string][]string
	failing  bool

	continuity continuity

	// next is where the read in progress goes on.
	next pomelospring.TopicPosition
	// mu protects what follows.
	mu sync.Mutex
	// running is the read in progress, and reads counts those that began.
	running *historyRead
	reads   int
}

var (
	_ pomelospring.StreamOrigins     = (*Keeper)(nil)
	_ pomelospring.StreamStartKeeper = (*Keeper)(nil)
)

// Run keeps the records up to date until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	if k.FirstFleetStart {
		k.Register.AddHistory(nil, k.Clock())
	}
	for ; ctx.Err() == nil; _ = pomelospring.Sleep(ctx, k.interval()) {
		err := k.keep(ctx)
		if err != nil && !k.failing && ctx.Err() == nil {
			events.Log(k.Logger, events.OriginsNotKept, log.Fields{
				"error": err.Error(),
			})
		}
		k.failing = err != nil
	}
	return nil
}

func (k *Keeper) interval() time.Duration {
	return max(minWriteInterval, time.Duration(k.Instances())*writeIntervalPerInstance)
}

// keep writes what the store lacks.
func (k *Keeper) keep(ctx context.Context) error {
	now := k.Clock()
	listed := k.Board.SoftwareVersions()
	k.Register.SeeVersions(listed, now)
	if k.isListCurrent(now) {
		if err := k.readHistory(ctx, now); err != nil {
			return err
		}
	}
	if starts := k.Directory.Tell(k.Register.Untold(now)); len(starts) > 0 {
		k.Register.NotTold(starts, now)
	}
	if starts := k.Register.Unwritten(now); len(starts) > 0 {
		if err := k.Store.AppendStarts(ctx, starts); err != nil {
			return err
		}
		k.Register.Written(starts, now)
	}
	if !k.LeadsAny() {
		k.recorded = nil
		return nil
	}
	return k.writeHistory(ctx)
}

// isListCurrent reports whether the list of servers has all software versions that serve.
// Once it hasn't, others may have come and gone unseen.
func (k *Keeper) isListCurrent(now time.Time) bool {
	var uptime time.Duration
	if k.Uptime != nil {
		uptime = k.Uptime()
	}
	maxAge := maxListAge + time.Duration(k.Instances())*listAgePerInstance
	current, lost := k.continuity.look(k.Board.ServersAge(now), maxAge, now, uptime, k.interval())
	if lost {
		k.Register.MissHistory()
	}
	return current
}

// readHistory reads which software versions served before this instance started, or while
// its list of servers was not current.
func (k *Keeper) readHistory(ctx context.Context, now time.Time) error {
	if _, complete := k.Register.Versions(""); complete {
		return nil
	}
	versions, err := k.Store.SoftwareVersions(ctx)
	if err != nil {
		return err
	}
	k.Register.AddHistory(versions, now)
	return nil
}

// writeHistory records the software versions of each service where they have changed.
func (k *Keeper) writeHistory(ctx context.Context) (err error) {
	for _, service := range k.Register.Services() {
		current, _ := k.Register.Versions(service)
		if recorded, known := k.recorded[service]; known && slices.Equal(current, recorded) {
			continue
		}
		if err = k.Store.WriteSoftwareVersions(ctx, service, current); err != nil {
			return err
		}
		if k.recorded == nil {
			k.recorded = map[string][]string{}
		}
		k.recorded[service] = current
		events.Log(k.Logger, events.SoftwareVersions, log.Fields{
			"service":  service,
			"versions": current,
		})
	}
	return nil
}

// Begin implements pomelospring.StreamOrigins.
func (k *Keeper) Begin(start pomelospring.StreamStart) {
	if len(start.Call) > maxCallBytes {
		return
	}
	now := k.Clock()
	k.Register.SeeVersions(k.Board.SoftwareVersions(), now)
	k.Register.Begin(start, now)
	// It may be known to be ambiguous.
	start, _ = k.Register.Find(start.Call)
	starts := []pomelospring.StreamStart{start}
	if !k.Register.Several(start.Service, now) || len(k.Directory.Tell(starts)) > 0 {
		k.Register.NotTold(starts, now)
	}
}

// Several implements pomelospring.StreamOrigins.
func (k *Keeper) Several(service string) bool { return k.Register.Several(service, k.Clock()) }

// Told implements pomelospring.StreamStartKeeper.
func (k *Keeper) Told(starts []pomelospring.StreamStart) { k.Register.Merge(starts, k.Clock()) }

// Lookup implements pomelospring.StreamStartKeeper.
func (k *Keeper) Lookup(ctx context.Context, calls []string) (starts []pomelospring.StreamStart, complete bool) {
	starts = k.Register.FindAll(calls)
	if len(starts) == len(calls) {
		return starts, false
	}
	_, err := k.refresh(ctx, maxLookupForOthers)
	return k.Register.FindAll(calls), err == nil
}

// Origin implements pomelospring.StreamOrigins.
func (k *Keeper) Origin(ctx context.Context, service, call string) (origin pomelospring.StreamOrigin) {
	askedAt := k.Clock()
	start, source, read := k.find(ctx, call)
	switch source {
	case sourceUnanswered:
	case sourceNowhere:
		if software, known := k.onlyVersion(service); known {
			source = sourceOnlyVersion
			origin = pomelospring.StreamOrigin{
				Known:    true,
				Service:  service,
				Software: software,
			}
		}
	default:
		origin = pomelospring.StreamOrigin{
			Known:    !start.Ambiguous && !k.otherVersionBegan(&start),
			Service:  start.Service,
			Software: start.Software,
		}
	}
	now := k.Clock()
	if !origin.Known || now.Sub(start.At) < listDelay {
		origin.RetryAt = now.Add(k.interval() + recordDelay)
	}
	events.Log(k.Logger, events.OriginSought, log.Fields{
		"call":     call,
		"service":  service,
		"software": origin.Software,
		"known":    origin.Known,
		"source":   source,
		"read":     read,
		"tookMs":   now.Sub(askedAt).Milliseconds(),
	})
	return origin
}

// find finds the start that a call made: here, at the instances that keep starts, or in
// the store, of which it reads a number of starts.
func (k *Keeper) find(ctx context.Context, call string) (start pomelospring.StreamStart, source string, read int) {
	if call == "" || len(call) > maxCallBytes {
		return start, sourceNowhere, 0
	}
	if start, found := k.Register.Find(call); found {
		return start, sourceHere, 0
	}
	answer := k.ask(ctx, call)
	if answer.Found {
		k.Told([]pomelospring.StreamStart{answer.Start})
		return answer.Start, sourceInstance, 0
	}
	if answer.Complete {
		return start, sourceNowhere, 0
	}
	read, err := k.refresh(ctx, lookupTimeout)
	if err != nil {
		events.Log(k.Logger, events.OriginsNotKept, log.Fields{
			"call":  call,
			"error": err.Error(),
		})
	}
	start, found := k.Register.Find(call)
	switch {
	case found:
		return start, sourceStore, read
	case err != nil && !answer.Answered:
		return start, sourceUnanswered, read
	}
	return start, sourceNowhere, read
}

// ask asks the instances that keep starts, and again while they may be about to be told of
// this one.
func (k *Keeper) ask(ctx context.Context, call string) (answer pomelospring.StartAnswer) {
	for _, wait := range askAgainAfter {
		answer = k.Directory.Ask(ctx, call)
		if answer.Found || !answer.Answered || pomelospring.Sleep(ctx, wait) != nil {
			return answer
		}
	}
	return k.Directory.Ask(ctx, call)
}

// Where the start of a stream was found, for the log.
const (
	sourceHere        = "here"
	sourceInstance    = "instance"
	sourceStore       = "store"
	sourceOnlyVersion = "onlyVersion"
	sourceNowhere     = "nowhere"
	sourceUnanswered  = "unanswered"
)

// onlyVersion returns the software version of a service if there has been only one.
func (k *Keeper) onlyVersion(service string) (software string, known bool) {
	now := k.Clock()
	k.Register.SeeVersions(k.Board.SoftwareVersions(), now)
	current := k.isListCurrent(now)
	versions, complete := k.Register.Versions(service)
	if current && complete && len(versions) == 1 {
		return versions[0], true
	}
	return "", false
}

// otherVersionBegan reports whether the server of a start may have been started anew before
// at another software version than its entry said.
func (k *Keeper) otherVersionBegan(start *pomelospring.StreamStart) bool {
	server, listed := k.Board.Server(start.Server)
	if !listed || server.Software == start.Software {
		return false
	}
	return server.Started.After(start.ServerStarted) && start.At.After(server.Started.Add(-restartMargin))
}

// historyRead is a read of the starts in the store, which several calls wait for.
type historyRead struct {
	// number counts the reads.
	number int
	done   chan struct{}
	// starts is how many were read, and err why it ended early; set when done is closed.
	starts int
	err    error
}

// refresh reads the starts that were recorded until now, with the other calls that ask for
// them, and returns their number. After some time it does not wait any longer, but the read
// goes on for the calls that come later.
func (k *Keeper) refresh(ctx context.Context, timeout time.Duration) (read int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	before := k.lastRead()
	for {
		running := k.beginRead()
		select {
		case <-ctx.Done():
			return read, fmt.Errorf("the starts of streams were not read in time: %w", ctx.Err())
		case <-running.done:
		}
		read += running.starts
		// One that had begun before may have missed what was recorded since.
		if running.err != nil || running.number > before {
			return read, running.err
		}
	}
}

// lastRead returns the number of the last read that began.
func (k *Keeper) lastRead() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reads
}

// beginRead returns the read in progress, and begins one if there is none.
func (k *Keeper) beginRead() *historyRead {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.running == nil {
		k.reads++
		k.running = &historyRead{
			number: k.reads,
			done:   make(chan struct{}),
		}
		go k.read(k.running)
	}
	return k.running
}

// read reads the starts from where the last read ended.
func (k *Keeper) read(running *historyRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for {
		starts, next, err := k.Store.Starts(ctx, k.next)
		running.starts += len(starts)
		atEnd := next == k.next
		if err == nil {
			k.next = next
			k.Register.Merge(starts, k.Clock())
		}
		if err != nil || atEnd {
			running.err = err
			k.mu.Lock()
			k.running = nil
			k.mu.Unlock()
			close(running.done)
			return
		}
	}
}
