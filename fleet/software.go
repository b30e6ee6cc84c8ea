package fleet

import (
	"maps"
	"slices"

	"github.com/pomelospring/pomelospring"
)

// SoftwareVersions returns the software versions of the listed servers by service.
func (b *Board) SoftwareVersions() map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := make(map[string][]string, len(b.index.software))
	for service, counts := range b.index.software {
		versions[service] = slices.Sorted(maps.Keys(counts))
	}
	return versions
}

// OtherSoftware lists the servers of a service that have another software version, and
// says whether a server that takes calls has this one.
func (b *Board) OtherSoftware(service, software string) (others []string, serves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.index.software[service]
	if len(counts) == 1 && counts[software] > 0 {
		return nil, true
	}
	for id, server := range b.servers {
		switch {
		case server.Service != service:
		case server.Software != software:
			others = append(others, id)
		case !server.Draining && !b.evacuated[server.Domain]:
			serves = true
		}
	}
	return others, serves
}

// Server returns a listed server.
func (b *Board) Server(id string) (server pomelospring.FleetServer, listed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server, listed = b.servers[id]
	return server, listed
}
