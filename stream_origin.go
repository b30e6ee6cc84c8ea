package pomelospring

import (
	"context"
	"time"
)

// StreamStart is the start of a resumable stream: the call that brought its first event,
// and the server that sent it.
type StreamStart struct {
	Call    string
	Service string
	// Software is the version of the server's software, at which alone the stream may go
	// on.
	Software      string
	Server        string
	ServerStarted time.Time
	At            time.Time
	// Deadline is when the caller of the stream stops waiting for it; zero if it did not
	// say.
	Deadline time.Time
	// Ambiguous is set if the call began streams at other software versions too.
	Ambiguous bool
}

// StreamOrigin is where a stream that a call goes on with began.
type StreamOrigin struct {
	// Known is set if Service and Software are those at which the stream began.
	Known    bool
	Service  string
	Software string
	// RetryAt is when an origin that is not known, or its servers, may be; zero if no more
	// will be known.
	RetryAt time.Time
}

// StreamOrigins says at which software version streams began.
type StreamOrigins interface {
	// Begin records the start of a stream.
	Begin(start StreamStart)
	// Origin returns where a call began a stream of a service.
	Origin(ctx context.Context, service, call string) (origin StreamOrigin)
	// Several reports whether servers of several software versions serve a service, or
	// did so lately.
	Several(service string) bool
}

// StreamDirectory tells other instances of the starts of streams, and asks them.
type StreamDirectory interface {
	// Tell hands starts over to the instances that keep them, without waiting for them. It
	// returns the starts for which there is none now.
	Tell(starts []StreamStart) (untold []StreamStart)
	// Ask asks these instances for the start that a call made.
	Ask(ctx context.Context, call string) (answer StartAnswer)
}

// StartAnswer is what the instances that keep starts know of one.
type StartAnswer struct {
	Start StreamStart
	Found bool
	// Answered is set if one of them answered, and Complete if it has all starts that are
	// in the store.
	Answered bool
	Complete bool
}

// StreamStartKeeper keeps the starts that other instances tell of.
type StreamStartKeeper interface {
	// Told adds starts.
	Told(starts []StreamStart)
	// Lookup returns the starts that calls made, those in the store included; complete
	// says that the store was read to its end.
	Lookup(ctx context.Context, calls []string) (starts []StreamStart, complete bool)
}

// OriginStore keeps what must outlast the instances of the starts of streams.
type OriginStore interface {
	// AppendStarts records starts, which expire with the store's history.
	AppendStarts(ctx context.Context, starts []StreamStart) (err error)
	// Starts returns some of the starts recorded from a position on, and the next
	// position, which is the same at the end.
	Starts(ctx context.Context, from TopicPosition) (starts []StreamStart, next TopicPosition, err error)
	// SoftwareVersions returns the recorded software versions of each service.
	SoftwareVersions(ctx context.Context) (versions map[string][]string, err error)
	// WriteSoftwareVersions replaces those of one service.
	WriteSoftwareVersions(ctx context.Context, service string, versions []string) (err error)
}
