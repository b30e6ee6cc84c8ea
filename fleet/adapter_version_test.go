package fleet_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/dispatch"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
)

// told is a declaration of a version of the adapter m/a, and when and how an instance
// is told of it.
type told struct {
	after   time.Duration
	version int64
	era     int64
	offset  int64
	relayed bool
}

// versionOperators decodes each record as the declared version of an adapter.
func versionOperators(board *fleet.Board) *fleet.OperatorRecords {
	operators := newOperators(board, quota.NewLedger(1, rand.Float64))
	operators.DecodeVersion = func(record pomelospring.KeyedRecord) (string, int64, bool, error) {
		version, err := strconv.ParseInt(string(record.Value), 10, 64)
		return record.Key, version, err == nil, err
	}
	return operators
}

// tell applies a declaration as read from the store or as relayed by another instance.
func (d told) tell(operators *fleet.OperatorRecords) {
	declaration := record("m/a", strconv.FormatInt(d.version, 10), d.offset)
	declaration.Era = d.era
	if d.relayed {
		operators.AddRecords([]pomelospring.KeyedRecord{declaration})
		return
	}
	operators.ApplyRead([]pomelospring.KeyedRecord{declaration}, true, pomelospring.TopicPosition{
		Era:    d.era,
		Offset: d.offset + 1,
	}, 0)
}

// setVersions lists a server for each of the versions 1 to 4 of the adapter m/a.
func setVersions(board *fleet.Board) {
	servers := map[string]pomelospring.FleetServer{}
	for version := int64(1); version <= 4; version++ {
		id := fmt.Sprint("v", version)
		servers[id] = pomelospring.FleetServer{
			ID:      id,
			Service: "llm",
			Models:  []string{"m"},
			Resident: []pomelospring.ResidentAdapter{
				{Adapter: "m/a", Version: version},
			},
		}
	}
	board.SetServers(servers, time.Now())
}

// oldestUsable returns the oldest version of the adapter m/a that may serve now.
func oldestUsable(board *fleet.Board) int64 {
	candidates := board.Candidates("llm", &pomelospring.Call{Adapter: "m/a"}, nil, time.Now())
	return slices.MinFunc(candidates, func(x, y dispatch.Candidate) int { return cmp.Compare(x.Version, y.Version) }).Version
}

// oldestOverTime tells the declarations and returns the oldest usable version at each
// of the times.
func oldestOverTime(operators *fleet.OperatorRecords, declarations []told, times []time.Duration) (oldest []int64) {
	board := operators.Board
	began := time.Now()
	for _, at := range times {
		for len(declarations) > 0 && declarations[0].after <= at {
			time.Sleep(time.Until(began.Add(declarations[0].after)))
			declarations[0].tell(operators)
			declarations = declarations[1:]
		}
		time.Sleep(time.Until(began.Add(at)))
		oldest = append(oldest, oldestUsable(board))
	}
	return oldest
}

const s = time.Second

func TestLaterDeclarationMakesNoOutdatedVersionUsable(t *testing.T) {
	scenarios := []struct {
		name   string
		tell   []told
		times  []time.Duration
		oldest []int64
	}{
		{
			name:   "one",
			tell:   []told{{after: 0, version: 2, offset: 1}},
			times:  []time.Duration{1 * s, 2 * s, 9 * s},
			oldest: []int64{1, 2, 2},
		},
		{
			name:   "two, closer than the grace period",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: 1 * s, version: 3, offset: 2}},
			times:  []time.Duration{s * 3 / 2, 2 * s, s * 5 / 2, 3 * s},
			oldest: []int64{1, 2, 2, 3},
		},
		{
			name:   "two, wider than the grace period",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: 8 * s, version: 3, offset: 2}},
			times:  []time.Duration{7 * s, 8 * s, 9 * s, 10 * s},
			oldest: []int64{2, 2, 2, 3},
		},
		{
			name:   "three, closer than the grace period",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: 1 * s, version: 3, offset: 2}, {after: s * 3 / 2, version: 4, offset: 3}},
			times:  []time.Duration{s * 19 / 10, 2 * s, 3 * s, s * 7 / 2},
			oldest: []int64{1, 2, 3, 4},
		},
		{
			name:   "three, wider than the grace period",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: 5 * s, version: 3, offset: 2}, {after: 10 * s, version: 4, offset: 3}},
			times:  []time.Duration{1 * s, 6 * s, 7 * s, 11 * s, 12 * s},
			oldest: []int64{1, 2, 3, 3, 4},
		},
		{
			name:   "out of order, closer than the grace period",
			tell:   []told{{after: 0, version: 3, offset: 2}, {after: 1 * s, version: 2, offset: 1}},
			times:  []time.Duration{s * 3 / 2, 2 * s, 3 * s},
			oldest: []int64{1, 3, 3},
		},
		{
			name:   "out of order, wider than the grace period",
			tell:   []told{{after: 0, version: 3, offset: 2}, {after: 5 * s, version: 2, offset: 1, relayed: true}},
			times:  []time.Duration{s * 3 / 2, 2 * s, 5 * s, 6 * s},
			oldest: []int64{1, 3, 3, 3},
		},
		{
			name:   "told again by a relay",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: s * 3 / 2, version: 2, offset: 1, relayed: true}, {after: 4 * s, version: 2, offset: 1, relayed: true}},
			times:  []time.Duration{s * 3 / 2, 2 * s, 4 * s},
			oldest: []int64{1, 2, 2},
		},
		{
			name:   "the newer of two by a relay",
			tell:   []told{{after: 0, version: 2, offset: 1}, {after: 4 * s, version: 3, offset: 2, relayed: true}, {after: 5 * s, version: 3, offset: 2}},
			times:  []time.Duration{4 * s, 5 * s, 6 * s},
			oldest: []int64{2, 2, 3},
		},
		{
			name:   "written again to a restored store",
			tell:   []told{{after: 0, version: 2, offset: 7}, {after: 4 * s, version: 2, offset: 3, era: 1}},
			times:  []time.Duration{2 * s, 4 * s, 5 * s},
			oldest: []int64{2, 2, 2},
		},
		{
			name:   "an older one in a restored store",
			tell:   []told{{after: 0, version: 2, offset: 6}, {after: 3 * s, version: 3, offset: 7}, {after: 6 * s, version: 2, offset: 3, era: 1}, {after: 7 * s, version: 4, offset: 4, era: 1}},
			times:  []time.Duration{3 * s, 5 * s, 6 * s, 7 * s, 9 * s},
			oldest: []int64{2, 3, 3, 3, 4},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := fleet.NewBoard("north")
				setVersions(board)
				stayInTouch(t.Context(), board)
				oldest := oldestOverTime(versionOperators(board), scenario.tell, scenario.times)
				if diff := gocmp.Diff(scenario.oldest, oldest); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// stayInTouch confirms every half second that all records known then are complete.
func stayInTouch(ctx context.Context, board *fleet.Board) {
	confirm := func() { board.ConfirmOperatorPosition(pomelospring.TopicPosition{Offset: 1}, time.Now()) }
	confirm()
	go func() {
		for pomelospring.Sleep(ctx, 500*time.Millisecond) == nil {
			confirm()
		}
	}()
}

func TestManyDeclarationsInTurnKeepNoOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := fleet.NewBoard("north")
		setVersions(board)
		board.ConfirmOperatorPosition(pomelospring.TopicPosition{Offset: 1}, time.Now())
		operators := versionOperators(board)
		for version := int64(2); version <= 40; version++ {
			told{version: version, offset: version}.tell(operators)
			usable := board.Candidates("llm", &pomelospring.Call{Adapter: "m/a"}, nil, time.Now())
			if version >= 9 && len(usable) > 0 {
				t.Fatalf("version %d serves %d ms after version 5 was declared", usable[0].Version, 500*(version-5))
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestVersionToldLateGetsWholeGracePeriod guards against a grace period that begins only
// when an instance that started, or was cut off, is told of a declaration.
func TestVersionToldLateGetsWholeGracePeriod(t *testing.T) {
	scenarios := []struct {
		name string
		// confirmed is the time since the records were last known complete; 0 for never.
		confirmed time.Duration
		tell      []told
		times     []time.Duration
		oldest    []int64
	}{
		{
			name:   "at the start, by the store",
			tell:   []told{{version: 2, offset: 1}},
			times:  []time.Duration{0, 1 * s},
			oldest: []int64{2, 2},
		},
		{
			name:   "at the start, by a relay and then by the store",
			tell:   []told{{version: 2, offset: 1, relayed: true}, {after: 1 * s, version: 2, offset: 1}},
			times:  []time.Duration{0, 1 * s},
			oldest: []int64{2, 2},
		},
		{
			name:   "at the start, and a newer one after it",
			tell:   []told{{version: 2, offset: 1}, {after: 1 * s, version: 3, offset: 2}},
			times:  []time.Duration{0, 1 * s, 3 * s},
			oldest: []int64{2, 2, 3},
		},
		{
			name:      "after a long cut",
			confirmed: 10 * s,
			tell:      []told{{version: 2, offset: 1, relayed: true}, {version: 3, offset: 2, relayed: true}},
			times:     []time.Duration{0, 1 * s},
			oldest:    []int64{3, 3},
		},
		{
			name:      "after a short cut",
			confirmed: 3 * s,
			tell:      []told{{version: 2, offset: 1, relayed: true}},
			times:     []time.Duration{s / 2, 1 * s},
			oldest:    []int64{1, 2},
		},
		{
			name:      "without a cut",
			confirmed: 1 * s,
			tell:      []told{{version: 2, offset: 1, relayed: true}},
			times:     []time.Duration{s * 3 / 2, 2 * s},
			oldest:    []int64{1, 2},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := fleet.NewBoard("north")
				setVersions(board)
				if scenario.confirmed > 0 {
					board.ConfirmOperatorPosition(pomelospring.TopicPosition{Offset: 1}, time.Now().Add(-scenario.confirmed))
				}
				oldest := oldestOverTime(versionOperators(board), scenario.tell, scenario.times)
				if diff := gocmp.Diff(scenario.oldest, oldest); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
