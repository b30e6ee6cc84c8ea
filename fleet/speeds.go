package fleet

import (
	"time"

	"github.com/pomelospring/pomelospring/dispatch"
)

const (
	// speedWeight is the weight of one answer in the averages of speeds.
	speedWeight = 0.05
	// minMeasuredPrompt is the number of tokens from which the time to the first
	// output is mostly prefill.
	minMeasuredPrompt = 2000
	// A measured speed outside these bounds is limited to them: a prompt that the
	// prefix cache held is fast, and one behind an unknown queue slow, whatever the
	// worker's prefill rate.
	minPrefillTokensPerSecond = 2000.0
	maxPrefillTokensPerSecond = 500000.0
	minPlainCall              = time.Millisecond
	maxPlainCall              = 2 * time.Second
)

// RecordPrefill records how long a worker without waiting prompts took from a call
// with uncached prompt tokens to its first output.
func (b *Board) RecordPrefill(tokens int64, took time.Duration) {
	if tokens < minMeasuredPrompt || took <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The average is taken over the time per token, as a few slow prompts matter
	// more than a few fast ones.
	known := b.prefill.PrefillTime(1).Seconds()
	measured := took.Seconds() / float64(tokens)
	measured = min(1/minPrefillTokensPerSecond, max(1/maxPrefillTokensPerSecond, measured))
	b.prefill.PrefillTokensPerSecond = 1 / (known + (measured-known)*speedWeight)
}

// RecordPlainCall records how long a server with a free slot took for a call to a
// service without a model.
func (b *Board) RecordPlainCall(service string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := dispatch.Speeds{
		PlainCall: b.plainCalls[service],
	}.PlainCallTime()
	measured := min(maxPlainCall, max(minPlainCall, took))
	b.plainCalls[service] = known + time.Duration(float64(measured-known)*speedWeight)
}

// Speeds returns the learned speeds of a service's servers; for model workers the
// service may be empty.
func (b *Board) Speeds(service string) dispatch.Speeds {
	b.mu.Lock()
	defer b.mu.Unlock()
	speeds := b.prefill
	speeds.PlainCall = b.plainCalls[service]
	return speeds
}
