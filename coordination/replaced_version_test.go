package coordination_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination"
)

const (
	// versionBound is how long after a declaration an older version may still be used.
	versionBound = 5 * time.Second
	// requestInterval is the time between two requests for the adapter at an instance.
	requestInterval = 100 * time.Millisecond
)

// replacement is what callers and workers see of declarations of the adapter m/a0.
type replacement struct {
	mu sync.Mutex
	// declaredAt has the times of the declarations by version.
	declaredAt map[int64]time.Time
	// longestUse is the longest time after the declaration of a version at which an
	// older one was used, and lastCopy that at which a worker of the domain still held
	// an older one.
	longestUse, lastCopy time.Duration
	// requests counts the requests since the first declaration, and refused those that
	// found no worker; lastRefused is when the last of them came, after the first
	// declaration.
	requests, refused int
	lastRefused       time.Duration
}

// outdatedFor returns for how long a version has been replaced.
func (r *replacement) outdatedFor(version int64, now time.Time) (since time.Duration) {
	for newer, at := range r.declaredAt {
		if newer > version {
			since = max(since, now.Sub(at))
		}
	}
	return since
}

func (r *replacement) declare(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declaredAt[version] = time.Now()
}

// request sends one request for the adapter at an instance.
func (r *replacement) request(t *testing.T, n *node) {
	now := time.Now()
	candidates := n.board.Candidates("llm", &pomelospring.Call{Adapter: "m/a0"}, nil, now)
	if len(candidates) > 0 {
		r.mu.Lock()
		for _, candidate := range candidates {
			r.longestUse = max(r.longestUse, r.outdatedFor(candidate.Version, now))
		}
		if len(r.declaredAt) > 0 {
			r.requests++
		}
		r.mu.Unlock()
		id := candidates[0].Server.ID
		n.board.BeginCall(id, "m/a0", 100)
		time.Sleep(requestInterval / 2)
		n.board.EndCall(id, "m/a0", 100, false, time.Now())
		return
	}
	outcome, err := n.coordinator.Place(t.Context(), pomelospring.PlacementRequest{
		Adapter:  "m/a0",
		Version:  n.board.DeclaredVersions()["m/a0"],
		Domain:   n.domain,
		Deadline: now.Add(time.Second),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.declaredAt) == 0 {
		return
	}
	r.requests++
	if err != nil || outcome.Server == "" {
		r.refused++
		r.lastRefused = now.Sub(r.declaredAt[2])
	}
}

// observeCopies notes for how long the domain's workers hold replaced versions.
func (r *replacement) observeCopies(f *restoredFleet, domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range f.workers {
		for _, resident := range w.Resident {
			if w.domain == domain {
				r.lastCopy = max(r.lastCopy, r.outdatedFor(resident.Version, time.Now()))
			}
		}
	}
}

// leaderOf returns the instance that leads a domain.
func (f *restoredFleet) leaderOf(domain string) int {
	return slices.IndexFunc(f.nodes, func(n *node) bool {
		return slices.ContainsFunc(n.coordinator.Members, func(m *coordination.Member) bool { return m.Domain == domain && m.Leader.Leading() })
	})
}

// lose ends an instance for good; replace starts another one in its place.
func (f *restoredFleet) lose(i int) (lost *node) {
	lost = f.nodes[i]
	lost.cut.Store(true)
	lost.stop()
	return lost
}

func (f *restoredFleet) replace(i int, successor string) {
	f.nodes[i] = f.start(successor, f.nodes[i].domain, false)
}

// leaderTrouble is what befalls leaders around declarations.
type leaderTrouble struct {
	name string
	// trouble befalls the leaders of the domains north and south two seconds before
	// the first declaration, and ends after a time. It returns the instances whose
	// callers are not counted.
	trouble func(f *restoredFleet, north, south int) (apart []*node)
	lasts   time.Duration
	end     func(f *restoredFleet, north, south int)
	// leaderless says that no other domain's leader can place the adapter.
	leaderless bool
}

// declarationTimes are the time from the trouble to the first declaration, and from that to
// the second one.
type declarationTimes struct {
	lead time.Duration
	gap  time.Duration
}

// TestOutdatedVersionServesWithoutALeader guards against old copies that serve because no
// leader replaces them.
func TestOutdatedVersionServesWithoutALeader(t *testing.T) {
	scenarios := []leaderTrouble{
		{
			name:    "calm",
			trouble: func(*restoredFleet, int, int) []*node { return nil },
		},
		{
			name: "the leader is lost",
			trouble: func(f *restoredFleet, north, _ int) []*node {
				return []*node{f.lose(north)}
			},
			lasts: 2 * time.Second,
			end:   func(f *restoredFleet, north, _ int) { f.replace(north, "n8") },
		},
		{
			name: "the leaders of all domains are lost",
			trouble: func(f *restoredFleet, north, south int) []*node {
				return []*node{f.lose(north), f.lose(south)}
			},
			lasts: 2 * time.Second,
			end: func(f *restoredFleet, north, south int) {
				f.replace(north, "n8")
				f.replace(south, "n9")
			},
			leaderless: true,
		},
		{
			name: "the leader is frozen",
			trouble: func(f *restoredFleet, north, _ int) []*node {
				f.nodes[north].cut.Store(true)
				f.freeze(f.nodes[north].name, true)
				return []*node{f.nodes[north]}
			},
			lasts: 7600 * time.Millisecond,
			end: func(f *restoredFleet, north, _ int) {
				f.freeze(f.nodes[north].name, false)
				f.nodes[north].cut.Store(false)
			},
		},
		{
			name: "the leader is cut off from the store",
			trouble: func(f *restoredFleet, north, _ int) []*node {
				f.nodes[north].cut.Store(true)
				return []*node{f.nodes[north]}
			},
			lasts: 20 * time.Second,
			end:   func(f *restoredFleet, north, _ int) { f.nodes[north].cut.Store(false) },
		},
		{
			name: "the leader is lost, and other instances are cut off from the store",
			trouble: func(f *restoredFleet, north, south int) []*node {
				for i, n := range f.nodes {
					n.cut.Store(i != north && i != south)
				}
				return []*node{f.lose(north)}
			},
			lasts: 2 * time.Second,
			end:   func(f *restoredFleet, north, _ int) { f.replace(north, "n8") },
		},
		{
			name: "the leader is lost, and the store doesn't answer the others of its domain",
			trouble: func(f *restoredFleet, north, _ int) []*node {
				for _, n := range f.nodes {
					n.silent.Store(n.domain == "north")
				}
				return []*node{f.lose(north)}
			},
			lasts: 4 * time.Second,
			end: func(f *restoredFleet, north, _ int) {
				for _, n := range f.nodes {
					n.silent.Store(false)
				}
				f.replace(north, "n8")
			},
		},
	}
	times := []declarationTimes{
		{lead: 2 * time.Second, gap: 8 * time.Second},
		{lead: 2 * time.Second, gap: 8 * time.Second},
		{lead: 0, gap: time.Second},
		{lead: 4 * time.Second, gap: 6 * time.Second},
	}
	for _, scenario := range scenarios {
		for i, at := range times {
			seed := uint64(i + 1)
			t.Run(fmt.Sprint(scenario.name, ", ", at.lead, " and ", at.gap, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playDeclarations(t, scenario, at, seed) })
			})
		}
	}
}

// playDeclarations declares two versions around the trouble.
func playDeclarations(t *testing.T, scenario leaderTrouble, times declarationTimes, seed uint64) {
	const firstDeclaration = 20 * time.Second
	secondDeclaration := firstDeclaration + times.gap
	troubleBegins := firstDeclaration - times.lead
	f := newRestoredFleet(t, seed)
	for _, w := range f.workers {
		w.Resident = []pomelospring.ResidentAdapter{{Adapter: "m/a0", Version: 1}}
	}
	r := &replacement{declaredAt: map[int64]time.Time{}}
	var north, south int
	var apart []*node
	for step := 0; time.Since(f.began) < 45*time.Second; step++ {
		at := time.Since(f.began).Round(checkInterval)
		if at == troubleBegins {
			north, south = f.leaderOf("north"), f.leaderOf("south")
			apart = scenario.trouble(f, north, south)
		}
		if at == troubleBegins+scenario.lasts && scenario.end != nil {
			scenario.end(f, north, south)
		}
		if at == firstDeclaration || at == secondDeclaration {
			f.version++
			r.declare(int64(f.version))
			f.publish()
		}
		if step%int(heartbeatInterval/checkInterval) == 0 {
			f.heartbeats()
		}
		r.observeCopies(f, "north")
		for _, n := range f.nodes {
			if !slices.Contains(apart, n) && time.Since(n.startedAt) > 4*time.Second {
				go r.request(t, n)
			}
		}
		time.Sleep(requestInterval)
	}
	time.Sleep(2 * time.Second)
	r.check(t, scenario.leaderless)
	for _, n := range f.nodes {
		n.stop()
	}
}

// check checks that no version was used for too long, and no request refused in vain.
func (r *replacement) check(t *testing.T, leaderless bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("older versions were used for %s and held for %s; %d of %d requests refused, the last one after %s",
		r.longestUse, r.lastCopy, r.refused, r.requests, r.lastRefused)
	if r.longestUse > versionBound {
		t.Errorf("an older version was used %s after a newer one was declared", r.longestUse)
	}
	if r.refused > 0 && !leaderless {
		t.Errorf("%d requests were refused although another domain could serve them", r.refused)
	}
}
