package dispatch

import "time"

const (
	// initialPrefillTokensPerSecond and initialPlainCallTime apply until answers
	// show the actual speeds. They are on the slow side of known deployments.
	initialPrefillTokensPerSecond = 32000
	initialPlainCallTime          = 60 * time.Millisecond
)

// Speeds are those of the backend servers as learned from their answers. The zero
// value has safe starts.
type Speeds struct {
	// PrefillTokensPerSecond is a model worker's prefill rate while it runs other
	// calls.
	PrefillTokensPerSecond float64
	// PlainCall is the duration of a call to a service without a model, on a server
	// with a free slot.
	PlainCall time.Duration
}

// PrefillTime estimates how long a model worker takes to prefill a prompt.
func (s Speeds) PrefillTime(tokens int64) time.Duration {
	rate := s.PrefillTokensPerSecond
	if rate <= 0 {
		rate = initialPrefillTokensPerSecond
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// PlainCallTime estimates how long a call to a service without a model takes.
func (s Speeds) PlainCallTime() time.Duration {
	if s.PlainCall <= 0 {
		return initialPlainCallTime
	}
	return s.PlainCall
}
