package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
)

// inEra sets the position of a record.
func inEra(era, offset int64, record pomelospring.KeyedRecord) pomelospring.KeyedRecord {
	record.Era, record.Offset = era, offset
	return record
}

func TestCopyBringsNoOlderConfigurationIntoForce(t *testing.T) {
	known := []pomelospring.KeyedRecord{inEra(0, 40, put("config", "9")), inEra(0, 41, put("m/a", ""))}
	scenarios := []struct {
		name    string
		records []pomelospring.KeyedRecord
		version int64
		kept    []string
	}{
		{
			name:    "the copy has an older configuration and lacks an adapter version",
			records: []pomelospring.KeyedRecord{inEra(1, 20, put("config", "7"))},
			version: 9,
			kept:    []string{"config", "m/a"},
		},
		{
			name:    "the operators wrote the configuration again",
			records: []pomelospring.KeyedRecord{inEra(1, 20, put("config", "7")), inEra(1, 30, put("config", "9"))},
			version: 9,
			kept:    []string{"m/a"},
		},
		{
			name:    "a newer configuration at a lower offset",
			records: []pomelospring.KeyedRecord{inEra(1, 21, put("config", "10")), inEra(1, 20, put("m/a", ""))},
			version: 10,
			kept:    []string{},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board, fresh := fleet.NewBoard("north"), fleet.NewBoard("north")
			operators := newOperators(board, quota.NewLedger(1, func() float64 { return 0 }))
			operators.AddRecords(known)
			operators.ApplyRead(scenario.records, true, pomelospring.TopicPosition{Era: 1, Offset: 32}, 0)
			if diff := cmp.Diff(scenario.version, board.Policy().Version); diff != "" {
				t.Error(diff)
			}
			retained := board.RetainedRecords()
			kept := make([]string, 0, len(retained))
			for _, record := range retained {
				kept = append(kept, record.Key)
			}
			slices.Sort(kept)
			if diff := cmp.Diff(scenario.kept, kept); diff != "" {
				t.Error(diff)
			}
			// An instance that started since and read the copy itself.
			late := newOperators(fresh, quota.NewLedger(1, func() float64 { return 0 }))
			late.ApplyRead(scenario.records, true, pomelospring.TopicPosition{Era: 1, Offset: 32}, 0)
			if (fresh.RetainedDigest() == board.RetainedDigest()) != (len(kept) == 0) {
				t.Error("the digests do not tell the boards apart")
			}
			late.AddRecords(board.RetainedRecords())
			if diff := cmp.Diff(board.RetainedDigest(), fresh.RetainedDigest()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(board.Policy().Version, fresh.Policy().Version); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCopyChangesNoServerInUse(t *testing.T) {
	type step struct {
		after   time.Duration
		records []pomelospring.KeyedRecord
		full    bool
		end     int64
		// relayed lists the servers of a leader's complete list.
		relayed []string
	}
	// The list has a, which registered after the copy, and b, which drains; c left.
	restored := step{
		records: []pomelospring.KeyedRecord{inEra(1, 1, put("b", "ready")), inEra(1, 2, put("c", "ready"))},
		full:    true,
		end:     3,
	}
	scenarios := []struct {
		name  string
		steps []step
		want  []string
	}{
		{
			name:  "the copy",
			steps: []step{restored},
			want:  []string{"a"},
		},
		{
			name:  "a server that doesn't register again is dropped",
			steps: []step{restored, {after: 3 * time.Second, end: 3}},
		},
		{
			name: "a server that had left registers again",
			steps: []step{restored, {
				records: []pomelospring.KeyedRecord{inEra(1, 3, put("c", "ready"))},
				end:     4,
			}},
			want: []string{"a", "c"},
		},
		{
			name: "a whole list read again after a gap",
			steps: []step{restored, {
				records: append(slices.Clone(restored.records), inEra(1, 4, put("a", "ready"))),
				full:    true,
				end:     5,
			}, {after: 4 * time.Second, end: 5}},
			want: []string{"a"},
		},
		{
			name: "the entry of a server that had left is removed",
			steps: []step{restored, {
				records: []pomelospring.KeyedRecord{inEra(1, 3, put("c", ""))},
				end:     4,
			}, {after: 7 * time.Second, end: 4}},
		},
		{
			name:  "the entry of a server that had left outlasts the withhold time",
			steps: []step{restored, {after: 7 * time.Second, end: 3}},
			want:  []string{"c"},
		},
		{
			name: "a restart of the server that had left",
			steps: []step{{
				records: []pomelospring.KeyedRecord{inEra(1, 2, put("c", "ready2"))},
				full:    true,
				end:     3,
			}},
			want: []string{"a", "c"},
		},
		{
			name:  "the copy as a new leader relays it",
			steps: []step{{relayed: []string{"b", "c"}, end: 3}},
			want:  []string{"a"},
		},
		{
			name:  "the leader's list after the withhold time",
			steps: []step{{relayed: []string{"b", "c"}, end: 3}, {after: 7 * time.Second, relayed: []string{"c"}, end: 3}},
			want:  []string{"c"},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			now := start
			list := &fleet.ServerList{
				Board:  board,
				Logger: quiet(),
				Clock:  func() time.Time { return now },
				Decode: decode,
			}
			list.ApplyRead([]pomelospring.KeyedRecord{put("a", "ready"), put("b", "draining"), put("c", "ready")}, true, at(50), 0)
			list.ApplyRead([]pomelospring.KeyedRecord{put("c", "")}, false, at(51), 0)
			for _, s := range scenario.steps {
				now = now.Add(s.after)
				position := pomelospring.TopicPosition{Era: 1, Offset: s.end}
				if s.relayed == nil {
					list.ApplyRead(s.records, s.full, position, 0)
					continue
				}
				var servers []pomelospring.FleetServer
				for _, id := range s.relayed {
					servers = append(servers, pomelospring.FleetServer{ID: id, Started: start})
				}
				list.Relay(servers, nil, true, position, now)
			}
			var got []string
			for _, server := range board.Servers() {
				if !server.Draining {
					got = append(got, server.ID)
				}
			}
			slices.Sort(got)
			if diff := cmp.Diff(scenario.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An instance that just started lists what the copy lists, until a leader's list says
// that a server had left. Its next whole read listed the server again.
func TestNewInstanceListsNoServerAgainThatItsLeaderDropped(t *testing.T) {
	board := fleet.NewBoard("north")
	list := &fleet.ServerList{
		Board:  board,
		Logger: quiet(),
		Clock:  func() time.Time { return start },
		Decode: decode,
	}
	end := pomelospring.TopicPosition{Era: 1, Offset: 3}
	listed := []pomelospring.KeyedRecord{inEra(1, 1, put("a", "ready")), inEra(1, 2, put("c", "ready"))}
	list.ApplyRead(listed, true, end, 0)
	list.Relay([]pomelospring.FleetServer{{ID: "a", Started: start}}, nil, true, end, start)
	list.ApplyRead(listed, true, end, 0)
	got := make([]string, 0, 1)
	for _, server := range board.Servers() {
		got = append(got, server.ID)
	}
	if diff := cmp.Diff([]string{"a"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestSecondRestoreBringsServersBack guards against a restore inside the time that the one
// before left for servers to return.
func TestSecondRestoreBringsServersBack(t *testing.T) {
	board := fleet.NewBoard("north")
	now := start
	list := &fleet.ServerList{
		Board:  board,
		Logger: quiet(),
		Clock:  func() time.Time { return now },
		Decode: decode,
	}
	list.ApplyRead([]pomelospring.KeyedRecord{put("a", "ready"), put("b", "ready"), put("c", "ready")}, true, at(50), 0)
	list.ApplyRead([]pomelospring.KeyedRecord{put("c", "")}, false, at(51), 0)
	scenarios := []struct {
		name  string
		after time.Duration
		// era is that of a restore from a copy that lacks a and lists c, which left.
		era  int64
		want []string
	}{
		{name: "first restore", after: 0, era: 1, want: []string{"a", "b"}},
		{name: "second restore", after: 2 * time.Second, era: 2, want: []string{"a", "b"}},
		{name: "the first one's return window is over", after: 4 * time.Second, want: []string{"a", "b"}},
		{name: "the second one's is over", after: 5 * time.Second, want: []string{"b"}},
		{name: "third restore", after: 7 * time.Second, era: 3, want: []string{"b"}},
		{name: "the second one's withhold time is over", after: 9 * time.Second, want: []string{"b"}},
		{name: "the third one's is over, and the entry still there", after: 14 * time.Second, want: []string{"b", "c"}},
	}
	era := int64(0)
	for _, scenario := range scenarios {
		now = start.Add(scenario.after)
		var records []pomelospring.KeyedRecord
		if scenario.era > 0 {
			era = scenario.era
			records = []pomelospring.KeyedRecord{inEra(era, 1, put("b", "ready")), inEra(era, 2, put("c", "ready"))}
		}
		list.ApplyRead(records, scenario.era > 0, pomelospring.TopicPosition{Era: era, Offset: 3}, 0)
		listed := make([]string, 0, 3)
		for _, server := range board.Servers() {
			listed = append(listed, server.ID)
		}
		slices.Sort(listed)
		if diff := cmp.Diff(scenario.want, listed); diff != "" {
			t.Errorf("%s: %s", scenario.name, diff)
		}
	}
}
