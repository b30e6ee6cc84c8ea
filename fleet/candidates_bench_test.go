package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// benchedServers is the number of servers to design for, and benchedDomains that
	// of failure domains.
	benchedServers = 12000
	benchedDomains = 21
)

// benchedBoard returns a board of the size to design for. Each adapter is resident
// on a few servers of one domain.
func benchedBoard() *fleet.Board {
	board := fleet.NewBoard("d0")
	servers := map[string]pomelospring.FleetServer{}
	for i := range benchedServers {
		id := fmt.Sprintf("i-%05d", i)
		servers[id] = pomelospring.FleetServer{
			ID:      id,
			Service: "llm",
			Address: "10.1.0.1:80",
			Domain:  fmt.Sprintf("d%d", i%benchedDomains),
			Slots:   8,
			Started: start,
			Models:  []string{"m"},
		}
	}
	board.SetServers(servers, start)
	for d := range benchedDomains {
		changes := map[string]pomelospring.Residency{}
		for i := d; i < benchedServers; i += benchedDomains {
			residency := pomelospring.Residency{Whole: true}
			for k := range 8 {
				residency.Ready = append(residency.Ready, pomelospring.ResidentAdapter{Adapter: fmt.Sprintf("m/a%d", (i/3+k*977)%4000), Version: 1})
			}
			changes[fmt.Sprintf("i-%05d", i)] = residency
		}
		domain := fmt.Sprintf("d%d", d)
		board.SetResidency(domain, changes, true, 1)
		board.UpdateFromLeader(domain, nil, start.Add(time.Hour))
	}
	return board
}

// BenchmarkDecision measures the choice of a server for a call, or the refusal of one
// while all servers pause.
func BenchmarkDecision(b *testing.B) {
	scenarios := []struct {
		name    string
		adapter string
		// pausing is one in how many servers asked for a pause, and leaving one in how
		// many announced that it leaves; 0 for none.
		pausing int
		leaving int
		// limited is one in how many servers names a limit and has no turn for long.
		limited int
		// differing is set if the servers' paces differ and their rooms are known.
		differing bool
	}{
		{name: "adapter", adapter: "m/a17"},
		{name: "adapter, every other server pauses, every tenth leaves", adapter: "m/a17", pausing: 2, leaving: 10},
		{name: "adapter, all servers pause", adapter: "m/a17", pausing: 1},
		{name: "adapter, every other server names a limit", adapter: "m/a17", limited: 2},
		{name: "adapter, all servers name limits", adapter: "m/a17", limited: 1},
		{name: "adapter, servers differ", adapter: "m/a17", differing: true},
		{name: "model", adapter: "m"},
		{name: "model, servers differ", adapter: "m", differing: true},
		{name: "model, every other server pauses, every tenth leaves", adapter: "m", pausing: 2, leaving: 10},
		{name: "model, all servers pause", adapter: "m", pausing: 1},
		{name: "model, every other server names a limit", adapter: "m", limited: 2},
		{name: "model, all servers name limits", adapter: "m", limited: 1},
	}
	for _, scenario := range scenarios {
		b.Run(scenario.name, func(b *testing.B) {
			board := benchedBoard()
			paces := map[string]float64{}
			for i := range benchedServers {
				id := fmt.Sprintf("i-%05d", i)
				if scenario.pausing > 0 && i%scenario.pausing == 0 {
					board.RecordPause(id, start.Add(time.Minute), start)
				}
				if scenario.leaving > 0 && i%scenario.leaving == 0 {
					board.RecordLeaving(fleet.LeavingServer{ID: id, Started: start}, start)
				}
				if scenario.limited > 0 && i%scenario.limited == 0 {
					board.RecordLimit(fleet.ServerLimit{Server: id, Started: start, PerSecond: 1, At: start}, start)
					board.RecordNextTurn(id, start.Add(time.Minute))
				}
				if scenario.differing {
					paces[id] = 0.5 + float64(i%10)/10
					board.RecordRejection(id, 5, start)
				}
			}
			for d := range benchedDomains {
				board.SetLeaderPaces(fmt.Sprintf("d%d", d), paces, true, 1, start)
			}
			call := &pomelospring.Call{ID: "r", Adapter: scenario.adapter, PromptTokens: 1000}
			requirements := dispatch.Requirements{Domain: "d0", PromptTokens: 1000, Model: true}
			if call.NeedsAdapter() {
				requirements.Affinity = call.Adapter
			}
			b.ReportAllocs()
			for b.Loop() {
				if dispatch.Choose(board.Candidates("llm", call, nil, start), requirements).Found {
					continue
				}
				if _, paused := board.PauseEnd("llm", call, start); !paused {
					b.Fatal("a server takes calls, and none was found")
				}
			}
		})
	}
}
