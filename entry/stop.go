package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pomelospring/pomelospring"
)

// errStopping is the cause with which calls end that still run when the instance ends.
var errStopping = errors.New("the instance stops")

// Stop is a planned stop of the instance, as far as calls are concerned.
type Stop struct {
	// refusing is when the calls that are left are ended, once calls that may last longer
	// are refused.
	refusing atomic.Pointer[time.Time]
	// ending is canceled when the calls that are left are to be answered.
	ending context.Context
	end    context.CancelFunc
}

// NewStop returns a stop that hasn't begun.
func NewStop() *Stop {
	ending, end := context.WithCancel(context.Background())
	return &Stop{
		ending: ending,
		end:    end,
	}
}

// RefuseBeyond has calls refused from now on whose deadline is after a time.
func (s *Stop) RefuseBeyond(endsAt time.Time) { s.refusing.Store(&endsAt) }

// refusal refuses a call that may last longer than the instance.
func (s *Stop) refusal(deadline, now time.Time) *pomelospring.Refusal {
	if s == nil {
		return nil
	}
	if endsAt := s.refusing.Load(); endsAt == nil || !deadline.After(*endsAt) {
		return nil
	}
	return pomelospring.NewRefusal(pomelospring.CodeNotReady, retryAfter(now), "the instance stops before the call's deadline")
}

// EndCalls ends all running calls: those without an answer get a refusal that tells
// whether they may have run.
func (s *Stop) EndCalls() { s.end() }

// watch returns a context that also ends with the instance's calls.
func (s *Stop) watch(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	if s == nil {
		return parent, func() {}
	}
	ctx, cancelCause := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.ending, func() { cancelCause(errStopping) })
	return ctx, func() {
		stop()
		cancelCause(nil)
	}
}

// callerLeft reports whether a call's context ended because its caller left.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopping)
}
