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
}

// StreamOrigins says at which software version streams began.
type StreamOrigins interface {
	// Begin records the start of a stream.
	Begin(start StreamStart)
	// Origin returns the software version at which a call began a stream of a service;
	// known is false if it can't be told.
	Origin(ctx context.Context, service, call string) (software string, known bool)
	// Several reports whether servers of several software versions serve a service, or
	// did so lately.
	Several(service string) bool
}

// OriginStore keeps what must outlast the instances of the starts of streams.
type OriginStore interface {
	// AppendStarts records starts, which expire with the store's history.
	AppendStarts(ctx context.Context, starts []StreamStart) (err error)
	// Starts returns the starts recorded from a position on, and the next position.
	Starts(ctx context.Context, from TopicPosition) (starts []StreamStart, next TopicPosition, err error)
	// SoftwareVersions returns the recorded software versions of each service.
	SoftwareVersions(ctx context.Context) (versions map[string][]string, err error)
	// WriteSoftwareVersions replaces those of one service.
	WriteSoftwareVersions(ctx context.Context, service string, versions []string) (err error)
}
