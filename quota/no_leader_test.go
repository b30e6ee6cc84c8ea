package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/quota"
)

// An instance that has not heard from a leader, or not for long, serves its share of a rate.
func TestInstanceWithoutLeaderRefusesItsShare(t *testing.T) {
	const (
		rate   = 1_000_000.0
		tokens = 200.0
		length = 10 * time.Second
		// The share of an instance that has never heard from a leader, in tokens per second.
		share = 20_000.0
		// minServed is the part of a demand within the share that is served, minUsed the part
		// of the share that a demand beyond it uses, and maxUsed the bound of that.
		minServed = 0.98
		minUsed   = 0.9
		maxUsed   = 1.1
	)
	scenarios := []struct {
		name   string
		factor float64
	}{
		{name: "half of the share", factor: 0.5},
		{name: "three times the share", factor: 3},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			ledger := quota.NewLedger(2, func() float64 { return 0.5 })
			ledger.Configure(map[string]pomelospring.PolicyTeam{
				team: {
					Name:            team,
					TokensPerSecond: rate,
					Burst:           rate,
				},
			}, start)
			now := start.Add(time.Second)
			served, asked := 0.0, 0
			for end := now.Add(length); now.Before(end); now = now.Add(time.Duration(tokens / (scenario.factor * share) * float64(time.Second))) {
				asked++
				if ledger.Admit(quota.Request{
					Team:        team,
					Tokens:      tokens,
					UsualTokens: tokens,
					Call:        fmt.Sprint(asked),
				}, now).Admitted {
					served += tokens
				}
			}
			if part := served / tokens / float64(asked); scenario.factor < 1 && part < minServed {
				t.Errorf("%.2f of the calls were served, wanted %.2f", part, minServed)
			}
			// The bucket was full at the start.
			used := (served - share) / (share * length.Seconds())
			if scenario.factor > 1 && (served/(share*length.Seconds()) < minUsed || used > maxUsed) {
				t.Errorf("%.2f of the share were used, wanted %.2f to %.2f", used, minUsed, maxUsed)
			}
		})
	}
}
