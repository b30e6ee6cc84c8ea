package dispatch_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
)

func candidate(id, domain string, change func(c *dispatch.Candidate)) dispatch.Candidate {
	c := dispatch.Candidate{
		Server: pomelospring.FleetServer{
			ID:     id,
			Domain: domain,
			Slots:  6,
		},
	}
	if change != nil {
		change(&c)
	}
	return c
}

func TestChoose(t *testing.T) {
	model := dispatch.Requirements{
		Domain:       "north",
		PromptTokens: 9000,
		Model:        true,
	}
	plain := dispatch.Requirements{
		Domain: "north",
	}
	scenarios := []struct {
		name         string
		candidates   []dispatch.Candidate
		requirements dispatch.Requirements
		want         string
	}{
		{
			name:         "no candidates",
			requirements: model,
		},
		{
			name: "the shorter prompt queue",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.WaitingTokens = 20000 }),
				candidate("b", "north", nil),
			},
			requirements: model,
			want:         "b",
		},
		{
			name: "a cached prompt prefix",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.CachedTokens = 6000 }),
				candidate("b", "north", nil),
			},
			requirements: model,
			want:         "a",
		},
		{
			name: "the instance's own failure domain",
			candidates: []dispatch.Candidate{
				candidate("a", "south", nil),
				candidate("b", "north", nil),
			},
			requirements: model,
			want:         "b",
		},
		{
			name: "another domain rather than a long queue",
			candidates: []dispatch.Candidate{
				candidate("a", "south", nil),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Running = 6 }),
			},
			requirements: plain,
			want:         "a",
		},
		{
			name: "a busy server rather than a failing one",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.FailureRate = 0.4 }),
				candidate("b", "south", func(c *dispatch.Candidate) { c.Running = 3 }),
			},
			requirements: plain,
			want:         "b",
		},
		{
			name: "the faster server",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.Pace = 1.3 }),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Pace = 0.5 }),
			},
			requirements: model,
			want:         "b",
		},
		{
			name: "a slower server without a queue",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.Pace = 1.3 }),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Pace, c.WaitingTokens = 0.5, 40000 }),
			},
			requirements: model,
			want:         "a",
		},
		{
			name: "the faster server of a service without a model",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.Running = 2 }),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Running, c.Pace = 2, 0.5 }),
			},
			requirements: plain,
			want:         "b",
		},
		{
			name: "a server with room",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.Running, c.Room = 8, 4 }),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Running = 9 }),
			},
			requirements: model,
			want:         "b",
		},
		{
			name: "the least beyond its room",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.Running, c.Room = 12, 4 }),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Running, c.Room = 12, 10 }),
			},
			requirements: model,
			want:         "b",
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			choice := dispatch.Choose(scenario.candidates, scenario.requirements)
			if diff := cmp.Diff(scenario.want, choice.Candidate.Server.ID); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(len(scenario.candidates) > 0, choice.Found); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestChoiceIsIndependentOfCandidateOrder(t *testing.T) {
	requirements := dispatch.Requirements{
		Domain:   "north",
		Model:    true,
		Affinity: "m/a7",
	}
	forward := []dispatch.Candidate{candidate("a", "north", nil), candidate("b", "north", nil), candidate("c", "north", nil)}
	backward := []dispatch.Candidate{forward[2], forward[1], forward[0]}
	if diff := cmp.Diff(dispatch.Choose(forward, requirements).Candidate.Server.ID, dispatch.Choose(backward, requirements).Candidate.Server.ID); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]dispatch.Candidate, 0, 60)
	for i := range 60 {
		candidates = append(candidates, candidate(string(rune('a'+i)), "north", nil))
	}
	requirements := dispatch.Requirements{
		Domain:       "north",
		PromptTokens: 9000,
		Model:        true,
		Affinity:     "m/a7",
	}
	for b.Loop() {
		dispatch.Choose(candidates, requirements)
	}
}

// TestUnreportedLoadIsSpreadOverQueues guards against instances that all pick the
// shortest queue because they choose at once with the same stale queue lengths.
// With 79 instances this delayed 45 of 100 calls of adapters that were resident on
// 8 workers.
func TestUnreportedLoadIsSpreadOverQueues(t *testing.T) {
	const prompt = 9000
	candidates := []dispatch.Candidate{
		candidate("a", "north", nil),
		candidate("b", "north", func(c *dispatch.Candidate) { c.WaitingTokens = 2 * prompt }),
		candidate("c", "north", nil),
		candidate("d", "north", func(c *dispatch.Candidate) { c.WaitingTokens = 40 * prompt }),
	}
	sent := map[string]int{}
	for call := range 20 {
		choice := dispatch.Choose(candidates, dispatch.Requirements{
			Domain:         "north",
			PromptTokens:   prompt,
			Affinity:       "m/a7",
			Model:          true,
			UnreportedLoad: 20 * dispatch.Speeds{}.PrefillTime(prompt),
			HashPosition:   float64(call) / 20,
		})
		sent[choice.Candidate.Server.ID]++
	}
	// Twenty prompts are spread over a, b and c; two more already wait at b.
	if sent["a"] > 8 || sent["b"] > 7 || sent["c"] > 8 || sent["d"] > 0 {
		t.Errorf("sent: %v", sent)
	}
}

func TestCallsWithSharedPromptChooseSameWorker(t *testing.T) {
	candidates := []dispatch.Candidate{candidate("a", "north", nil), candidate("b", "north", nil), candidate("c", "north", nil)}
	requirements := dispatch.Requirements{
		Domain:         "north",
		Affinity:       "m/a7",
		Model:          true,
		UnreportedLoad: 5 * time.Second,
		HashPosition:   dispatch.HashFraction("m/a7|5c1e07a2"),
	}
	first := dispatch.Choose(candidates, requirements).Candidate.Server.ID
	for i := range candidates {
		candidates[i].WaitingTokens = int64(i) * 300
	}
	if diff := cmp.Diff(first, dispatch.Choose(candidates, requirements).Candidate.Server.ID); diff != "" {
		t.Errorf("a small change of the queues changed the choice: %s", diff)
	}
}
