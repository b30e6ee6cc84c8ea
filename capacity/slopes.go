// Package capacity measures the cost of each operation of the control plane at
// several sizes, fits a line to each, and estimates from these slopes the costs
// of the fleet that the system is designed for. It generates docs/CAPACITY.md.
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

// clockBound is the largest assumed difference between any two clocks.
const clockBound = 250 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a measurement at three or more sizes with its linear fit.
type Slope struct {
	Name string `json:"name"`
	// Size names what the sizes count, Unit is the unit of the values.
	Size   string  `json:"size"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Fixed and PerUnit are the fit: value = Fixed + PerUnit x size.
	Fixed   float64 `json:"fixed"`
	PerUnit float64 `json:"each"`
	// MaxRelativeError is the largest deviation of a point from the fit, as a
	// fraction of the point's value.
	MaxRelativeError float64 `json:"error"`
}

// Estimate returns the fitted value at a size.
func (s Slope) Estimate(size float64) float64 {
	return s.Fixed + s.PerUnit*size
}

// newSlope measures at each size and fits a line to the values.
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
			Value: roundToFourDigits(value),
		})
		xs = append(xs, float64(n))
		ys = append(ys, value)
	}
	s.Fixed, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range s.Points {
		s.MaxRelativeError = max(s.MaxRelativeError, math.Abs(p.Value-s.Estimate(p.Size))/math.Abs(p.Value))
	}
	s.Fixed, s.PerUnit, s.MaxRelativeError = roundToFourDigits(s.Fixed), roundToFourDigits(s.PerUnit), roundToFourDigits(s.MaxRelativeError)
	return s
}

// roundToFourDigits rounds a value to four significant digits.
func roundToFourDigits(value float64) float64 {
	if value == 0 {
		return 0
	}
	scale := math.Pow(10, 3-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// Names of the slopes in docs/measurements/slopes.json that the page is computed
// from.
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

// Measure measures all slopes on the local host.
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

// microseconds returns the average time of one iteration of run, which is called
// with the number of iterations.
func microseconds(run func(n int)) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		run(b.N)
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / 1000
}

// retainedHeap returns the heap that the result of make retains, in bytes.
func retainedHeap(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
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

// change returns the record of a configuration change.
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

// configuredState returns a configuration with the given number of adapters.
func configuredState(adapters int) *configuration.State {
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
	state := configuredState(adapters)
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
	return storedSize(change(list...))
}

// storedSize returns the size of a record as it is stored, in bytes.
func storedSize(record pomelospring.Record) float64 {
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
	return retainedHeap(func() any { return configuredState(adapters) })
}

func snapshotBytes(adapters int) float64 {
	encoded, err := json.Marshal(configuredState(adapters))
	if err != nil {
		panic(err)
	}
	return float64(len(encoded))
}

// shares returns the requested shares and the demand for one pool per team.
func shares(teams int) (requested map[string]budget.Share, demand map[string]float64) {
	requested = map[string]budget.Share{}
	demand = map[string]float64{}
	for team := range teams {
		pool := fmt.Sprintf("team/team-%02d", team)
		requested[pool] = budget.Share{
			Leased:   34567,
			Standing: 12345,
		}
		demand[pool] = 1234.56
	}
	return requested, demand
}

// renewal returns the record of a lease renewal that carries a claim.
func renewal(member, teams int, sequence int64) pomelospring.Record {
	requested, demand := shares(teams)
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
			Shares:           requested,
			Wanted:           demand,
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
	return storedSize(renewal(1, teams, 123456))
}

// claim returns the record of a failure domain's claim.
func claim(domain, teams int, sequence int64) pomelospring.Record {
	requested, demand := shares(teams)
	record, err := pomelospring.NewRecord("8d2f6f0e-7c1f-4a53-9f0a-3f1c5a7e9b10", budget.KindClaim, start, budget.Claim{
		Holder:           fmt.Sprintf("domain-%02d", domain),
		Sequence:         sequence,
		Shares:           requested,
		Wanted:           demand,
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
	return storedSize(claim(1, teams, 123456))
}

// entry returns the directory entry of model worker n with the given number of
// resident adapters.
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

// directory returns a directory with the given number of model workers, each with
// 8 resident adapters.
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
	return retainedHeap(func() any { return directory(workers) })
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
