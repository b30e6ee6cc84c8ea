// Package capacity measures what each part of the control work costs, at
// several sizes, and works out from the slopes what it costs at the size that
// the system is designed for.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/budget"
	"github.com/pomelospring/pomelospring/configuration"
	"github.com/pomelospring/pomelospring/failuredomain"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/routing"
	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"
)

const clockBound = 250 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a measurement at three or more sizes with its straight fit.
type Slope struct {
	Name string `json:"name"`
	// Size says what the sizes count, Unit what the values are in.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Fixed and Each are the fit: value = Fixed + Each x size.
	Fixed   float64 `json:"fixed"`
	PerUnit float64 `json:"each"`
	// MaxRelativeError is the largest distance of a point from the fit, as a part of it.
	MaxRelativeError float64 `json:"error"`
}

// Estimate is the fitted value at a size.
func (s Slope) Estimate(size float64) float64 {
	return s.Fixed + s.PerUnit*size
}

func newSlope(name, size, unit string, sizes []int, measure func(size int) float64) Slope {
	s := Slope{
		Name: name,
		Size: size,
		Unit: unit,
	}
	xs := make([]float64, 0, len(sizes))
	ys := make([]float64, 0, len(sizes))
	for _, n := range sizes {
		value := measure(n)
		s.Points = append(s.Points, Point{
			Size:  float64(n),
			Value: round(value),
		})
		xs = append(xs, float64(n))
		ys = append(ys, value)
	}
	s.Fixed, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range s.Points {
		s.MaxRelativeError = max(s.MaxRelativeError, math.Abs(p.Value-s.Estimate(p.Size))/math.Abs(p.Value))
	}
	s.Fixed, s.PerUnit, s.MaxRelativeError = round(s.Fixed), round(s.PerUnit), round(s.MaxRelativeError)
	return s
}

// round keeps four digits.
func round(value float64) float64 {
	if value == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// Names of the slopes that the page is worked out from.
const (
	ChangeTime      = "change of configuration folded"
	ChangeBytes     = "record of a change"
	AdapterMemory   = "adapter configured"
	SnapshotBytes   = "snapshot of the configuration"
	RenewalTime     = "renewal of an instance folded"
	RenewalBytes    = "record of a renewal"
	ClaimTime       = "claim of a failure domain folded"
	ClaimBytes      = "record of a domain's claim"
	PlacementTime   = "placement heard of"
	PlacementBytes  = "summary of a model worker"
	PlacementMemory = "model worker known"
	RouteTime       = "request routed"
	SpendTime       = "charge and refund"
)

// Measure takes all slopes on this machine.
func Measure() []Slope {
	return []Slope{
		newSlope(ChangeTime, "adapters", "microseconds", []int{1000, 3000, 13000}, changeTime),
		newSlope(ChangeBytes, "operations", "bytes", []int{1, 4, 16}, changeBytes),
		newSlope(AdapterMemory, "adapters", "bytes", []int{1000, 3000, 13000}, adapterMemory),
		newSlope(SnapshotBytes, "adapters", "bytes", []int{1000, 3000, 13000}, snapshotBytes),
		newSlope(RenewalTime, "members", "microseconds", []int{3, 10, 25}, renewalTime),
		newSlope(RenewalBytes, "teams", "bytes", []int{5, 20, 50}, renewalBytes),
		newSlope(ClaimTime, "failure domains", "microseconds", []int{3, 9, 21}, claimTime),
		newSlope(ClaimBytes, "teams", "bytes", []int{5, 20, 50}, claimBytes),
		newSlope(PlacementTime, "workers", "microseconds", []int{120, 1200, 12000}, placementTime),
		newSlope(PlacementBytes, "adapters on it", "bytes", []int{2, 8, 16}, placementBytes),
		newSlope(PlacementMemory, "workers", "bytes", []int{1200, 4000, 12000}, placementMemory),
		newSlope(RouteTime, "workers", "microseconds", []int{120, 1200, 12000}, routeTime),
		newSlope(SpendTime, "open requests", "microseconds", []int{10, 100, 1000}, spendTime),
	}
}

func microseconds(run func(n int)) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		run(b.N)
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / 1000
}

// heap is what the result of make keeps, in bytes.
func heap(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func adapterOperation(n int) configuration.Operation {
	return configuration.Operation{
		SetAdapter: &pomelospring.Adapter{
			Name:     fmt.Sprintf("adapter-%05d", n),
			Base:     "base-model-1",
			Versions: []string{"v1", "v2"},
		},
	}
}

func change(operations ...configuration.Operation) pomelospring.Record {
	record, err := pomelospring.NewRecord("8d2f6f0e-7c1f-4a53-9f0a-3f1c5a7e9b10", configuration.KindChange, start, configuration.Change{
		MadeAgainst: 1 << 40,
		Author:      "operator",
		Operations:  operations,
	})
	if err != nil {
		panic(err)
	}
	return record
}

func configured(adapters int) *configuration.State {
	state := configuration.NewState()
	operations := make([]configuration.Operation, 0, adapters)
	for n := range adapters {
		operations = append(operations, adapterOperation(n))
	}
	return configuration.Fold(state, pomelospring.StoredRecord{
		Record: change(operations...),
	})
}

func changeTime(adapters int) float64 {
	state := configured(adapters)
	record := change(adapterOperation(7))
	return microseconds(func(n int) {
		for i := range n {
			record.ID = fmt.Sprint(i)
			state = configuration.Fold(state, pomelospring.StoredRecord{
				Record: record,
				Offset: state.Next,
			})
		}
	})
}

func changeBytes(operations int) float64 {
	list := make([]configuration.Operation, 0, operations)
	for n := range operations {
		list = append(list, adapterOperation(n))
	}
	return stored(change(list...))
}

func stored(record pomelospring.Record) float64 {
	encoded, err := json.Marshal(pomelospring.StoredRecord{
		Record: record,
		Offset: 1234567,
	})
	if err != nil {
		panic(err)
	}
	return float64(len(encoded))
}

func adapterMemory(adapters int) float64 {
	return heap(func() any { return configured(adapters) })
}

func snapshotBytes(adapters int) float64 {
	encoded, err := json.Marshal(configured(adapters))
	if err != nil {
		panic(err)
	}
	return float64(len(encoded))
}

func shares(teams int) (asked map[string]budget.Share, wanted map[string]float64) {
	asked = map[string]budget.Share{}
	wanted = map[string]float64{}
	for team := range teams {
		pool := fmt.Sprintf("team/team-%02d", team)
		asked[pool] = budget.Share{
			Leased:   34567,
			Standing: 12345,
		}
		wanted[pool] = 1234.56
	}
	return asked, wanted
}

func renewal(member, teams int, sequence int64) pomelospring.Record {
	asked, wanted := shares(teams)
	record, err := pomelospring.NewRecord("8d2f6f0e-7c1f-4a53-9f0a-3f1c5a7e9b10", failuredomain.KindRenewal, start, failuredomain.Renewal{
		Instance: pomelospring.Instance{
			ID:            fmt.Sprintf("domain-1-8d2f6f0e-%04d", member),
			Domain:        "domain-1",
			CallerAddress: "10.20.30.40:8001",
			PeerAddress:   "10.20.30.40:8002",
		},
		Deadline: start.Add(30 * time.Second),
		Claim: budget.Claim{
			Sequence:         sequence,
			Shares:           asked,
			Wanted:           wanted,
			LeasedDeadline:   start.Add(75 * time.Second),
			StandingDeadline: start.Add(10 * time.Minute),
		},
	})
	if err != nil {
		panic(err)
	}
	return record
}

func renewalTime(members int) float64 {
	state := failuredomain.NewState()
	sequence := int64(0)
	return microseconds(func(n int) {
		records := make([]pomelospring.Record, 0, n)
		for i := range n {
			sequence++
			records = append(records, renewal(i%members, 5, sequence))
		}
		for _, record := range records {
			state = failuredomain.Fold(state, pomelospring.StoredRecord{
				Record: record,
				Offset: state.Next,
			}, clockBound)
		}
	})
}

func renewalBytes(teams int) float64 {
	return stored(renewal(1, teams, 123456))
}

func claim(domain, teams int, sequence int64) pomelospring.Record {
	asked, wanted := shares(teams)
	record, err := pomelospring.NewRecord("8d2f6f0e-7c1f-4a53-9f0a-3f1c5a7e9b10", budget.KindClaim, start, budget.Claim{
		Holder:           fmt.Sprintf("domain-%02d", domain),
		Sequence:         sequence,
		Shares:           asked,
		Wanted:           wanted,
		LeasedDeadline:   start.Add(75 * time.Second),
		StandingDeadline: start.Add(10 * time.Minute),
	})
	if err != nil {
		panic(err)
	}
	return record
}

func claimTime(domains int) float64 {
	state := budget.NewState()
	sequence := int64(0)
	return microseconds(func(n int) {
		for i := range n {
			sequence++
			state = budget.Fold(state, pomelospring.StoredRecord{
				Record: claim(i%domains, 5, sequence),
				Offset: state.Next,
			}, clockBound)
		}
	})
}

func claimBytes(teams int) float64 {
	return stored(claim(1, teams, 123456))
}

func entry(n, adapters int) routing.Entry {
	e := routing.Entry{
		Server:  fmt.Sprintf("model-%05d", n),
		Owner:   fmt.Sprintf("domain-%02d-8d2f6f0e-%04d", n%21, n%530),
		Address: "10.20.30.40:8002",
		Domain:  fmt.Sprintf("domain-%02d", n%21),
		Base:    "base-model-1",
		Fence:   123456,
		Version: 1,
		Slots:   16,
		Running: 8,
		Limit:   16,
	}
	for a := range adapters {
		e.Resident = append(e.Resident, pomelospring.AdapterVersion{
			Adapter: fmt.Sprintf("adapter-%05d", (n*adapters+a)%13000),
			Version: "v1",
		})
	}
	return e
}

func directory(workers int) *routing.Directory {
	d := routing.NewDirectory()
	for n := range workers {
		d.Put(entry(n, 8))
	}
	return d
}

func placementTime(workers int) float64 {
	d := directory(workers)
	entries := d.All()
	version := int64(1)
	return microseconds(func(n int) {
		for i := range n {
			version++
			e := entries[i%len(entries)]
			e.Version = version
			d.Put(e)
		}
	})
}

func placementBytes(adapters int) float64 {
	return float64(proto.Size(peer.FromEntry(entry(7, adapters))))
}

func placementMemory(workers int) float64 {
	return heap(func() any { return directory(workers) })
}

func routeTime(workers int) float64 {
	router := routing.Affinity{
		Directory: directory(workers),
	}
	query := pomelospring.RouteQuery{
		Base:      "base-model-1",
		Domain:    "domain-01",
		Prefix:    7,
		Reachable: func(string) bool { return true },
	}
	names := entry(0, 13000).Resident
	return microseconds(func(n int) {
		for i := range n {
			query.Adapter = names[i%len(names)]
			router.Route(query)
		}
	})
}

func spendTime(open int) float64 {
	bucket := budget.NewBucket(start)
	bucket.SetTerms(budget.Terms{
		Rate:  1e9,
		Burst: 1e9,
		Share: budget.Share{
			Leased: budget.FullShare,
		},
		LeasedDeadline: start.Add(time.Hour),
	}, start)
	now := start.Add(time.Second)
	reservations := make([]budget.Reservation, 0, open)
	for range open {
		reservation, _ := bucket.Spend(100, now)
		reservations = append(reservations, reservation)
	}
	return microseconds(func(n int) {
		for i := range n {
			now = now.Add(time.Microsecond)
			bucket.Settle(reservations[i%open], 60, now)
			reservations[i%open], _ = bucket.Spend(100, now)
		}
	})
}
