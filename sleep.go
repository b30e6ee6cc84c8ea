package pomelospring

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx ends, and returns the error of ctx if it
// has ended. It starts no timer for a duration of zero or less.
func Sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
