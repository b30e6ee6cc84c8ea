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
		name       string
		candidates []dispatch.Candidate
		need       dispatch.Requirements
		want       string
	}{
		{
			name: "no candidate",
			need: model,
		},
		{
			name: "the shorter queue of prompts",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.WaitingTokens = 20000 }),
				candidate("b", "north", nil),
			},
			need: model,
			want: "b",
		},
		{
			name: "a prompt that was read there before",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.CachedTokens = 6000 }),
				candidate("b", "north", nil),
			},
			need: model,
			want: "a",
		},
		{
			name: "the own failure domain",
			candidates: []dispatch.Candidate{
				candidate("a", "south", nil),
				candidate("b", "north", nil),
			},
			need: model,
			want: "b",
		},
		{
			name: "another domain before a long queue",
			candidates: []dispatch.Candidate{
				candidate("a", "south", nil),
				candidate("b", "north", func(c *dispatch.Candidate) { c.Running = 6 }),
			},
			need: plain,
			want: "a",
		},
		{
			name: "not the one that fails",
			candidates: []dispatch.Candidate{
				candidate("a", "north", func(c *dispatch.Candidate) { c.FailureRate = 0.4 }),
				candidate("b", "south", func(c *dispatch.Candidate) { c.Running = 3 }),
			},
			need: plain,
			want: "b",
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			choice := dispatch.Choose(scenario.candidates, scenario.need)
			if diff := cmp.Diff(scenario.want, choice.Candidate.Server.ID); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(len(scenario.candidates) > 0, choice.Found); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestInstancesAgreeOnTheWorkerOfAnAdapter(t *testing.T) {
	need := dispatch.Requirements{
		Domain:   "north",
		Model:    true,
		Affinity: "m/a7",
	}
	forward := []dispatch.Candidate{candidate("a", "north", nil), candidate("b", "north", nil), candidate("c", "north", nil)}
	backward := []dispatch.Candidate{forward[2], forward[1], forward[0]}
	if diff := cmp.Diff(dispatch.Choose(forward, need).Candidate.Server.ID, dispatch.Choose(backward, need).Candidate.Server.ID); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]dispatch.Candidate, 0, 60)
	for i := range 60 {
		candidates = append(candidates, candidate(string(rune('a'+i)), "north", nil))
	}
	need := dispatch.Requirements{
		Domain:       "north",
		PromptTokens: 9000,
		Model:        true,
		Affinity:     "m/a7",
	}
	for b.Loop() {
		dispatch.Choose(candidates, need)
	}
}

// TestStaleQueuesAreFilledUpToOneLevel has 79 instances choose at once with the
// same word of the queues: all took the shortest one, and 45 of 100 calls of the
// adapters that 8 workers held were late (lalc-signplat-grown scale-1).
func TestStaleQueuesAreFilledUpToOneLevel(t *testing.T) {
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
			UnreportedLoad: 20 * dispatch.PrefillTime(prompt),
			HashPosition:   float64(call) / 20,
		})
		sent[choice.Candidate.Server.ID]++
	}
	// Twenty prompts over a, b and c, where b has two more waiting already.
	if sent["a"] > 8 || sent["b"] > 7 || sent["c"] > 8 || sent["d"] > 0 {
		t.Errorf("sent: %v", sent)
	}
}

func TestCallsThatShareAPromptMeetAtOneWorker(t *testing.T) {
	candidates := []dispatch.Candidate{candidate("a", "north", nil), candidate("b", "north", nil), candidate("c", "north", nil)}
	need := dispatch.Requirements{
		Domain:         "north",
		Affinity:       "m/a7",
		Model:          true,
		UnreportedLoad: 5 * time.Second,
		HashPosition:   dispatch.HashFraction("m/a7|5c1e07a2"),
	}
	first := dispatch.Choose(candidates, need).Candidate.Server.ID
	for i := range candidates {
		candidates[i].WaitingTokens = int64(i) * 300
	}
	if diff := cmp.Diff(first, dispatch.Choose(candidates, need).Candidate.Server.ID); diff != "" {
		t.Errorf("a small change of the queues moved the prompt: %s", diff)
	}
}
