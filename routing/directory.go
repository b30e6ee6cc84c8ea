// Package routing knows where adapters are resident in the fleet and picks the
// owner that a request goes to.
package routing

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
)

// pointsPerServer is how many points a model worker has on the ring.
const pointsPerServer = 8

// Entry is what is known of one model worker.
type Entry struct {
	Server  string
	Owner   string
	Address string
	Domain  string
	Base    string
	// Fence and Version order what is heard of a server; higher wins.
	Fence    int64
	Version  int64
	Resident []pomelospring.AdapterVersion
	Slots    int
	Running  int
	Limit    int
	Waiting  int
}

// load is how full a server is, in parts of its limit.
func (e *Entry) load() float64 {
	return float64(e.Running+e.Waiting) / float64(max(1, e.Limit))
}

// Directory holds the entries of all model workers and finds those that have
// an adapter. It is safe for concurrent use.
type Directory struct {
	mu       sync.RWMutex
	servers  map[string]*Entry
	resident map[pomelospring.AdapterVersion][]*Entry
	// sequence numbers changes, so that peers ask only for what is new.
	sequence int64
	changed  map[string]int64
	// all and domains are rings of servers that may get a new adapter.
	all     []point
	domains map[string][]point
}

type point struct {
	hash  uint64
	entry *Entry
}

// NewDirectory makes an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		servers:  map[string]*Entry{},
		resident: map[pomelospring.AdapterVersion][]*Entry{},
		changed:  map[string]int64{},
		domains:  map[string][]point{},
	}
}

// Put enters what was heard of a server and reports whether it was news.
func (d *Directory) Put(entry Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, known := d.servers[entry.Server]
	if known && !newer(entry, *held) {
		return false
	}
	added := entry
	if known {
		d.unlink(held)
	}
	d.servers[entry.Server] = &added
	d.link(&added)
	d.sequence++
	d.changed[entry.Server] = d.sequence
	d.replacePoints(held, &added)
	return true
}

// UpdateLoad takes the load that an answer told of a server. It is not passed on.
func (d *Directory) UpdateLoad(server string, running, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if held, known := d.servers[server]; known {
		held.Running = running
		held.Waiting = waiting
	}
}

// Len counts the servers known.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.servers)
}

func newer(a, b Entry) bool {
	if a.Fence != b.Fence {
		return a.Fence > b.Fence
	}
	return a.Owner == b.Owner && a.Version > b.Version
}

// Retain drops every server that keep does not name.
func (d *Directory) Retain(keep func(server string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, held := range d.servers {
		if keep(name) {
			continue
		}
		d.unlink(held)
		delete(d.servers, name)
		delete(d.changed, name)
		d.dropPoints(held)
	}
}

// ChangesSince returns the entries that changed after a sequence number, and the
// number to ask with next time.
func (d *Directory) ChangesSince(sequence int64) (entries []Entry, next int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, changed := range d.changed {
		if changed > sequence {
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

func (d *Directory) link(entry *Entry) {
	for _, adapter := range entry.Resident {
		d.resident[adapter] = append(d.resident[adapter], entry)
	}
}

func (d *Directory) unlink(entry *Entry) {
	for _, adapter := range entry.Resident {
		left := slices.DeleteFunc(d.resident[adapter], func(other *Entry) bool {
			return other == entry
		})
		if len(left) == 0 {
			delete(d.resident, adapter)
			continue
		}
		d.resident[adapter] = left
	}
}

// replacePoints keeps the ring in step; only a new server moves points.
func (d *Directory) replacePoints(before, after *Entry) {
	if before == nil || before.Domain != after.Domain || before.Base != after.Base {
		if before != nil {
			d.dropPoints(before)
		}
		d.all = addPoints(d.all, after)
		d.domains[after.Domain] = addPoints(d.domains[after.Domain], after)
		return
	}
	swapPoints(d.all, before, after)
	swapPoints(d.domains[after.Domain], before, after)
}

func (d *Directory) dropPoints(entry *Entry) {
	of := func(p point) bool { return p.entry.Server == entry.Server }
	d.all = slices.DeleteFunc(d.all, of)
	d.domains[entry.Domain] = slices.DeleteFunc(d.domains[entry.Domain], of)
}

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
