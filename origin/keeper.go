package origin

import (
	"context"
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
	// call waits.
	lookupTimeout = 500 * time.Millisecond
)

// Keeper writes the starts of streams to the store while servers of several software
// versions serve, and finds those that other instances wrote.
type Keeper struct {
	Store    pomelospring.OriginStore
	Register *Register
	Board    *fleet.Board
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

	// reading protects what follows, and lets one call at a time read the store.
	reading sync.Mutex
	next    pomelospring.TopicPosition
	// readAt is when the last read began, and readErr is its error.
	readAt  time.Time
	readErr error
}

var _ pomelospring.StreamOrigins = (*Keeper)(nil)

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
	current, lost := k.continuity.look(k.Board.ServersAge(now), now, uptime, k.interval())
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
func (k *Keeper) Begin(start pomelospring.StreamStart) { k.Register.Begin(start, k.Clock()) }

// Several implements pomelospring.StreamOrigins.
func (k *Keeper) Several(service string) bool { return k.Register.Several(service, k.Clock()) }

// Origin implements pomelospring.StreamOrigins.
func (k *Keeper) Origin(ctx context.Context, service, call string) (software string, known bool) {
	askedAt := k.Clock()
	source := sourceHere
	start, found := k.Register.Find(call)
	read := 0
	if !found && call != "" {
		source = sourceStore
		var err error
		if read, err = k.refresh(ctx); err != nil {
			events.Log(k.Logger, events.OriginsNotKept, log.Fields{
				"call":  call,
				"error": err.Error(),
			})
		}
		start, found = k.Register.Find(call)
	}
	if found {
		software, known = start.Software, !k.startedAnew(&start)
	} else {
		source = sourceNowhere
		if software, known = k.onlyVersion(service); known {
			source = sourceOnlyVersion
		}
	}
	events.Log(k.Logger, events.OriginSought, log.Fields{
		"call":     call,
		"service":  service,
		"software": software,
		"known":    known,
		"source":   source,
		"read":     read,
		"tookMs":   k.Clock().Sub(askedAt).Milliseconds(),
	})
	return software, known
}

// Where the start of a stream was found, for the log.
const (
	sourceHere        = "here"
	sourceStore       = "store"
	sourceOnlyVersion = "onlyVersion"
	sourceNowhere     = "nowhere"
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

// startedAnew reports whether the server of a start may have been started anew before, so
// that its software version was another one than its entry said.
func (k *Keeper) startedAnew(start *pomelospring.StreamStart) bool {
	server, listed := k.Board.Server(start.Server)
	return listed && server.Started.After(start.ServerStarted) && start.At.After(server.Started.Add(-restartMargin))
}

// refresh reads the starts that were recorded since the last read, unless another call
// has done so since this one asked, and returns their number.
func (k *Keeper) refresh(ctx context.Context) (read int, err error) {
	askedAt := k.Clock()
	k.reading.Lock()
	defer k.reading.Unlock()
	if k.readAt.After(askedAt) {
		return 0, k.readErr
	}
	k.readAt = k.Clock()
	read, k.readErr = k.readStarts(ctx)
	if ctx.Err() != nil {
		// That this caller has left says nothing to the others.
		k.readAt = time.Time{}
	}
	return read, k.readErr
}

// readStarts reads the starts that were recorded since the last read, and returns their
// number. The caller holds the lock.
func (k *Keeper) readStarts(ctx context.Context) (read int, err error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		starts, next, err := k.Store.Starts(ctx, k.next)
		if err != nil {
			return read, err
		}
		read += len(starts)
		k.next = next
		k.Register.Merge(starts, k.Clock())
		if len(starts) == 0 {
			return read, nil
		}
	}
}
