package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
)

// holderModel is what a board is told, without an index.
type holderModel struct {
	board    *fleet.Board
	random   *rand.Rand
	servers  map[string]pomelospring.FleetServer
	resident map[string]map[string]bool
	expires  time.Time
}

func (m *holderModel) server() string  { return fmt.Sprintf("s%d", m.random.IntN(6)) }
func (m *holderModel) adapter() string { return fmt.Sprintf("m/a%d", m.random.IntN(4)) }

// listServers replaces the server list at random.
func (m *holderModel) listServers() {
	m.servers = map[string]pomelospring.FleetServer{}
	for range m.random.IntN(7) {
		server := pomelospring.FleetServer{ID: m.server(), Service: "llm", Domain: "north", Models: []string{"m"}, Draining: m.random.IntN(4) == 0}
		for _, name := range slices.Compact([]string{"m/a0", m.adapter()}) {
			server.Resident = append(server.Resident, pomelospring.ResidentAdapter{Adapter: name, Version: 1})
		}
		m.servers[server.ID] = server
	}
	m.board.SetServers(maps.Clone(m.servers), start)
}

// report applies a leader's report of one server, or of that one only.
func (m *holderModel) report() {
	id, ready, gone := m.server(), m.adapter(), m.adapter()
	full, whole := m.random.IntN(4) == 0, m.random.IntN(3) == 0
	change := pomelospring.Residency{Whole: whole, Ready: []pomelospring.ResidentAdapter{{Adapter: ready, Version: 1}}}
	if full {
		m.resident = map[string]map[string]bool{}
	}
	if m.resident[id] == nil || whole {
		m.resident[id] = map[string]bool{}
	}
	m.resident[id][ready] = true
	if gone != ready {
		change.Gone = []string{gone}
		delete(m.resident[id], gone)
	}
	m.board.SetResidency("north", map[string]pomelospring.Residency{id: change}, full, 1)
}

// correct adds or removes one adapter of a listed server.
func (m *holderModel) correct() {
	id, adapter := m.server(), m.adapter()
	_, listed := m.servers[id]
	if m.random.IntN(2) == 0 {
		m.board.RemoveResident(id, adapter)
		if listed {
			delete(m.resident[id], adapter)
		}
		return
	}
	m.board.AddResident(id, adapter, 1)
	if listed {
		if m.resident[id] == nil {
			m.resident[id] = map[string]bool{}
		}
		m.resident[id][adapter] = true
	}
}

// holders lists the servers that can take a call for an adapter, or for the model m.
func (m *holderModel) holders(adapter string) (ids []string) {
	for id, server := range m.servers {
		holds := adapter == "m" || m.resident[id][adapter]
		if adapter != "m" && !start.Before(m.expires) {
			holds = slices.ContainsFunc(server.Resident, func(r pomelospring.ResidentAdapter) bool { return r.Adapter == adapter })
		}
		if holds && !server.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// candidateIDs lists the servers that a board chooses from.
func candidateIDs(board *fleet.Board, adapter string) (ids []string) {
	for _, candidate := range board.Candidates("llm", &pomelospring.Call{Adapter: adapter}, nil, start) {
		ids = append(ids, candidate.Server.ID)
	}
	slices.Sort(ids)
	return ids
}

// TestIndexMissesServer guards against servers that can take a call and that the index
// of the board doesn't list, or lists although they can't, over random reports, lists
// and corrections.
func TestIndexMissesServer(t *testing.T) {
	for seed := range uint64(200) {
		board := fleet.NewBoard("north")
		m := &holderModel{board: board, random: rand.New(rand.NewPCG(seed, 1)), resident: map[string]map[string]bool{}}
		for step := range 60 {
			switch m.random.IntN(4) {
			case 0:
				m.listServers()
			case 1:
				m.report()
			case 2:
				m.correct()
			case 3:
				m.expires = start.Add(time.Duration(m.random.IntN(2)) * time.Minute)
				board.UpdateFromLeader("north", nil, m.expires)
			}
			for _, adapter := range []string{"m", "m/a0", "m/a1", "m/a2", "m/a3"} {
				if diff := cmp.Diff(m.holders(adapter), candidateIDs(board, adapter)); diff != "" {
					t.Fatalf("seed %d, step %d, %s: %s", seed, step, adapter, diff)
				}
			}
		}
	}
}

// TestFirstOfManyServersGetsAllCalls guards against calls that meet at one of many
// servers that seem equal, where only a part of them is compared, and against such
// that never leave a busy failure domain.
func TestFirstOfManyServersGetsAllCalls(t *testing.T) {
	const perDomain = 200
	board := fleet.NewBoard("north")
	servers := map[string]pomelospring.FleetServer{}
	for i := range 2 * perDomain {
		id := fmt.Sprintf("s%d", i)
		servers[id] = pomelospring.FleetServer{ID: id, Service: "app", Domain: []string{"north", "south"}[i%2], Slots: 4}
	}
	board.SetServers(servers, start)
	listed := map[string]int{}
	domains := map[string]int{}
	const calls = 2000
	for range calls {
		candidates := board.Candidates("app", &pomelospring.Call{}, nil, start)
		listed[candidates[0].Server.ID]++
		for i := range candidates {
			domains[candidates[i].Server.Domain]++
		}
	}
	if len(listed) < perDomain*9/10 {
		t.Errorf("%d of %d servers are ever listed first", len(listed), perDomain)
	}
	if diff := cmp.Diff(domains["north"], domains["south"]); diff != "" {
		t.Errorf("servers listed by domain: %s", diff)
	}
}
