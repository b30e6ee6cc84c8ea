package routing_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/routing"
)

func adapter(n int) pomelospring.AdapterVersion {
	return pomelospring.AdapterVersion{
		Adapter: fmt.Sprintf("adapter%d", n),
		Version: "v1",
	}
}

// entry returns a server with one resident adapter, adjusted by change.
func entry(server, domain string, change func(e *routing.Entry)) routing.Entry {
	e := routing.Entry{
		Server:   server,
		Owner:    "owner of " + server,
		Domain:   domain,
		Base:     "base",
		Fence:    1,
		Version:  1,
		Limit:    10,
		Resident: []pomelospring.AdapterVersion{adapter(1)},
	}
	change(&e)
	return e
}

func TestAffinity(t *testing.T) {
	scenarios := []struct {
		name    string
		entries []routing.Entry
		change  func(q *pomelospring.RouteQuery)
		want    string
		reason  string
	}{
		{
			name: "a server with the adapter beats an idle one without it",
			entries: []routing.Entry{
				entry("m1", "a", func(e *routing.Entry) { e.Running = 5 }),
				entry("m2", "a", func(e *routing.Entry) { e.Resident = nil }),
			},
			want:   "m1",
			reason: "resident",
		},
		{
			name: "of two replicas the one in the request's failure domain is taken",
			entries: []routing.Entry{
				entry("m1", "b", func(*routing.Entry) {}),
				entry("m2", "a", func(e *routing.Entry) { e.Running = 1 }),
			},
			want:   "m2",
			reason: "resident",
		},
		{
			name: "a much less loaded replica in another failure domain is taken",
			entries: []routing.Entry{
				entry("m1", "b", func(*routing.Entry) {}),
				entry("m2", "a", func(e *routing.Entry) { e.Running = 9 }),
			},
			want:   "m1",
			reason: "resident",
		},
		{
			name: "overloaded replicas spill over to a lightly loaded server of the request's failure domain",
			entries: []routing.Entry{
				entry("m1", "b", func(e *routing.Entry) { e.Running = 20 }),
				entry("m2", "a", func(e *routing.Entry) { e.Resident = nil }),
			},
			want:   "m2",
			reason: "spilled over from overloaded replicas",
		},
		{
			name: "a server that failed the request is avoided",
			entries: []routing.Entry{
				entry("m1", "a", func(*routing.Entry) {}),
				entry("m2", "b", func(e *routing.Entry) { e.Resident = nil }),
			},
			change: func(q *pomelospring.RouteQuery) { q.Avoid = []string{"m1"} },
			want:   "m2",
			reason: "first on the hash ring",
		},
		{
			name: "a server whose owner is unreachable is avoided",
			entries: []routing.Entry{
				entry("m1", "a", func(*routing.Entry) {}),
				entry("m2", "b", func(e *routing.Entry) { e.Resident = nil }),
			},
			change: func(q *pomelospring.RouteQuery) {
				q.Reachable = func(owner string) bool { return owner != "owner of m1" }
			},
			want:   "m2",
			reason: "first on the hash ring",
		},
		{
			name: "a server with another base model never gets the request",
			entries: []routing.Entry{
				entry("m1", "a", func(e *routing.Entry) { e.Base = "other" }),
			},
			want: "",
		},
		{
			name: "a late report does not replace a newer one",
			entries: []routing.Entry{
				entry("m1", "a", func(e *routing.Entry) { e.Version = 2 }),
				entry("m1", "a", func(e *routing.Entry) { e.Resident = nil }),
			},
			want:   "m1",
			reason: "resident",
		},
		{
			name: "a former owner's report does not replace the new owner's",
			entries: []routing.Entry{
				entry("m1", "a", func(e *routing.Entry) { e.Fence = 2 }),
				entry("m1", "a", func(e *routing.Entry) {
					e.Owner = "former"
					e.Version = 9
					e.Resident = nil
				}),
			},
			want:   "m1",
			reason: "resident",
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			directory := routing.NewDirectory()
			for _, e := range scenario.entries {
				directory.Put(e)
			}
			query := pomelospring.RouteQuery{
				Adapter:   adapter(1),
				Base:      "base",
				Domain:    "a",
				Reachable: func(string) bool { return true },
			}
			if scenario.change != nil {
				scenario.change(&query)
			}
			router := routing.Affinity{
				Directory: directory,
			}
			target, _ := router.Route(query)
			got := []string{target.Server, target.Reason}
			if diff := cmp.Diff([]string{scenario.want, scenario.reason}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAllInstancesPickTheSameServer checks that an adapter that is resident
// nowhere goes to the same server in whatever order the servers were put into the
// directory, and that few adapters move when one server is excluded.
func TestAllInstancesPickTheSameServer(t *testing.T) {
	first, second := routing.NewDirectory(), routing.NewDirectory()
	for n := range 20 {
		first.Put(entry(fmt.Sprint("m", n), "a", func(e *routing.Entry) { e.Resident = nil }))
		second.Put(entry(fmt.Sprint("m", 19-n), "a", func(e *routing.Entry) { e.Resident = nil }))
	}
	moved := 0
	for n := range 1000 {
		query := pomelospring.RouteQuery{
			Adapter:   adapter(n),
			Base:      "base",
			Reachable: func(string) bool { return true },
		}
		one, _ := routing.Affinity{Directory: first}.Route(query)
		two, _ := routing.Affinity{Directory: second}.Route(query)
		if one != two {
			t.Fatalf("%s goes to %s and to %s", query.Adapter, one.Server, two.Server)
		}
		query.Avoid = []string{"m3"}
		if other, _ := (routing.Affinity{Directory: first}).Route(query); other.Server != one.Server {
			moved++
		}
	}
	if moved > 150 {
		t.Errorf("%d of 1000 adapters move when one of 20 servers is excluded", moved)
	}
}

// BenchmarkRoute routes requests over the number of workers and adapters in the
// benchmark's name, with two replicas per adapter.
func BenchmarkRoute(b *testing.B) {
	for _, size := range []struct{ workers, adapters int }{{12, 3000}, {1200, 13000}, {12000, 13000}} {
		b.Run(fmt.Sprintf("workers=%d,adapters=%d", size.workers, size.adapters), func(b *testing.B) {
			directory := fill(size.workers, size.adapters)
			router := routing.Affinity{
				Directory: directory,
			}
			query := pomelospring.RouteQuery{
				Base:      "base",
				Domain:    "domain1",
				Prefix:    7,
				Reachable: func(string) bool { return true },
			}
			names := make([]pomelospring.AdapterVersion, size.adapters)
			for n := range names {
				names[n] = adapter(n)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				query.Adapter = names[n%len(names)]
				if _, found := router.Route(query); !found {
					b.Fatal("no server found")
				}
			}
		})
	}
}

// fill returns a directory of workers in 21 failure domains.
func fill(workers, adapters int) *routing.Directory {
	directory := routing.NewDirectory()
	for n := range workers {
		directory.Put(entry(fmt.Sprint("m", n), fmt.Sprint("domain", n%21), func(e *routing.Entry) {
			e.Resident = nil
			for a := n % adapters; a < adapters && len(e.Resident) < 8; a += workers {
				e.Resident = append(e.Resident, adapter(a), adapter((a+workers/2)%adapters))
			}
		}))
	}
	return directory
}

// BenchmarkPut stores a newer report on one server.
func BenchmarkPut(b *testing.B) {
	for _, workers := range []int{12, 1200, 12000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			directory := fill(workers, 13000)
			entries := directory.All()
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				e := entries[n%len(entries)]
				e.Version += int64(n) + 2
				directory.Put(e)
			}
		})
	}
}
