// Package routing tracks which adapters are resident on which model workers, and
// picks the model worker, and so the owning instance, for a request.
package routing

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// pointsPerServer is the number of points of a model worker on a
// consistent-hash ring.
const pointsPerServer = 8

// Entry is the last reported state of one model worker.
type Entry struct {
	Server  string
	Owner   string
	Address string
	Domain  string
	Base    string
	// Fence and Version order the reports on a server: a higher fencing number
	// wins, then, from the same owner, a higher version.
	Fence    int64
	Version  int64
	Resident []pomelospring.AdapterVersion
	Slots    int
	// Running and Waiting count requests; Limit bounds the running ones.
	Running int
	Limit   int
	Waiting int
}

// load is the number of running and waiting requests relative to the limit of
// running ones.
func (e *Entry) load() float64 {
	return float64(e.Running+e.Waiting) / float64(max(1, e.Limit))
}

// Directory holds the entries of all model workers, indexed by resident adapter
// and by consistent hash. It is safe for concurrent use.
type Directory struct {
	mu       sync.RWMutex
	servers  map[string]*Entry
	resident map[pomelospring.AdapterVersion][]*Entry
	// sequence counts changes, and lastChange has the number of each server's
	// last one, so that peers fetch only what changed since their last read.
	sequence   int64
	lastChange map[string]int64
	// ring has the points of all servers, and domainRings those of each failure
	// domain, sorted by hash.
	ring        []point
	domainRings map[string][]point
}

// point is one of a server's positions on a consistent-hash ring.
type point struct {
	hash  uint64
	entry *Entry
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		servers:     map[string]*Entry{},
		resident:    map[pomelospring.AdapterVersion][]*Entry{},
		lastChange:  map[string]int64{},
		domainRings: map[string][]point{},
	}
}

// Put stores a report on a server and reports whether it was newer than the
// stored one.
func (d *Directory) Put(entry Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, known := d.servers[entry.Server]
	if known && !newer(entry, *current) {
		return false
	}
	added := entry
	if known {
		d.unindexResident(current)
	}
	d.servers[entry.Server] = &added
	d.indexResident(&added)
	d.sequence++
	d.lastChange[entry.Server] = d.sequence
	d.updateRings(current, &added)
	return true
}

// UpdateLoad sets the load that an answer reported for a server. It doesn't
// count as a change in ChangesSince.
func (d *Directory) UpdateLoad(server string, running, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current, known := d.servers[server]; known {
		current.Running = running
		current.Waiting = waiting
	}
}

// Len returns the number of servers.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.servers)
}

// newer reports whether a replaces b.
func newer(a, b Entry) bool {
	if a.Fence != b.Fence {
		return a.Fence > b.Fence
	}
	return a.Owner == b.Owner && a.Version > b.Version
}

// Retain removes every server for which keep returns false.
func (d *Directory) Retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, current := range d.servers {
		if keep(name) {
			continue
		}
		d.unindexResident(current)
		delete(d.servers, name)
		delete(d.lastChange, name)
		d.dropPoints(current)
	}
}

// ChangesSince returns the entries that changed after a sequence number, and the
// number to pass next time.
func (d *Directory) ChangesSince(sequence int64) (entries []Entry, next int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, lastChange := range d.lastChange {
		if lastChange > sequence {
			entries = append(entries, *d.servers[name])
		}
	}
	return entries, d.sequence
}

// All returns every entry, sorted by server.
func (d *Directory) All() []Entry {
	entries, _ := d.ChangesSince(-1)
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return entries
}

func (d *Directory) indexResident(entry *Entry) {
	for _, adapter := range entry.Resident {
		d.resident[adapter] = append(d.resident[adapter], entry)
	}
}

func (d *Directory) unindexResident(entry *Entry) {
	for _, adapter := range entry.Resident {
		remaining := slices.DeleteFunc(d.resident[adapter], func(other *Entry) bool {
			return other == entry
		})
		if len(remaining) == 0 {
			delete(d.resident, adapter)
			continue
		}
		d.resident[adapter] = remaining
	}
}

// updateRings points the rings at a server's new entry. Points are only moved if
// the server is new or its failure domain or base model changed.
func (d *Directory) updateRings(before, after *Entry) {
	if before == nil || before.Domain != after.Domain || before.Base != after.Base {
		if before != nil {
			d.dropPoints(before)
		}
		d.ring = addPoints(d.ring, after)
		d.domainRings[after.Domain] = addPoints(d.domainRings[after.Domain], after)
		return
	}
	swapPoints(d.ring, before, after)
	swapPoints(d.domainRings[after.Domain], before, after)
}

// dropPoints removes a server from the rings.
func (d *Directory) dropPoints(entry *Entry) {
	belongs := func(p point) bool { return p.entry.Server == entry.Server }
	d.ring = slices.DeleteFunc(d.ring, belongs)
	d.domainRings[entry.Domain] = slices.DeleteFunc(d.domainRings[entry.Domain], belongs)
}

// addPoints inserts a server's points and keeps the ring sorted.
func addPoints(ring []point, entry *Entry) []point {
	for _, hash := range pointsOf(entry.Server) {
		i, _ := slices.BinarySearchFunc(ring, hash, comparePoint)
		ring = slices.Insert(ring, i, point{
			hash:  hash,
			entry: entry,
		})
	}
	return ring
}

// swapPoints replaces a server's entry at its points.
func swapPoints(ring []point, before, after *Entry) {
	for _, hash := range pointsOf(after.Server) {
		i, _ := slices.BinarySearchFunc(ring, hash, comparePoint)
		for ; i < len(ring) && ring[i].hash == hash; i++ {
			if ring[i].entry == before {
				ring[i].entry = after
			}
		}
	}
}

// pointsOf returns the hashes of a server's points.
func pointsOf(server string) [pointsPerServer]uint64 {
	var points [pointsPerServer]uint64
	text := make([]byte, 0, len(server)+1)
	for i := range points {
		text = append(append(text[:0], server...), byte(i))
		points[i] = xxhash.Sum64(text)
	}
	return points
}

func comparePoint(p point, hash uint64) int {
	switch {
	case p.hash < hash:
		return -1
	case p.hash > hash:
		return 1
	}
	return 0
}
