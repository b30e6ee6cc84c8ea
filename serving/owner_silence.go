package serving

import (
	"errors"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// ownerCheckInterval is the time between checks of the owner of a forwarded
	// request.
	ownerCheckInterval = 200 * time.Millisecond
	// maxOwnerSilence is how long the owner of a forwarded request may be
	// unreachable and send no output before the request is ended.
	maxOwnerSilence = 10 * time.Second
	// startTimeShare is the share of the time left for starting a request after
	// which another owner is tried, so that there is time left for that one.
	startTimeShare = 0.5
)

// errOwnerSilent is the reason of a forwarded request that is ended because its
// owner seems to be gone.
var errOwnerSilent = errors.New("the owner is unreachable and sends nothing")

// OwnerSilence decides when the owner of a forwarded request counts as gone. An
// owner that is unreachable for a moment may still be running the request; only
// an unbroken silence of all its connections ends it.
type OwnerSilence struct {
	mu sync.Mutex
	// since is when the owner was last known to be there.
	since time.Time
	// limit is the longest silence, which is shorter before the first output.
	limit time.Duration
}

// NewOwnerSilence returns the silence of an owner that gets a request now.
func NewOwnerSilence(work *pomelospring.Work, now time.Time) *OwnerSilence {
	toStart := time.Duration(startTimeShare * float64(work.Deadline.Sub(now)))
	return &OwnerSilence{
		since: now,
		limit: min(maxOwnerSilence, max(toStart, ownerCheckInterval)),
	}
}

// RecordOutput records output of the request. From then on it can't be retried.
func (o *OwnerSilence) RecordOutput(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = now
	o.limit = maxOwnerSilence
}

// Exceeded reports whether the owner counts as gone.
func (o *OwnerSilence) Exceeded(reachable bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reachable {
		o.since = now
	}
	return now.Sub(o.since) >= o.limit
}
