package fleet_test

import (
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/quota"
)

// newOperators decodes a configuration that consists of its version only; the
// team's rate equals the version.
func newOperators(board *fleet.Board, ledger *quota.Ledger) *fleet.OperatorRecords {
	return &fleet.OperatorRecords{
		Board:     board,
		Ledger:    ledger,
		Logger:    quiet(),
		Clock:     time.Now,
		PolicyKey: "config",
		DecodePolicy: func(value []byte) (*pomelospring.Policy, error) {
			version, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return nil, err
			}
			return &pomelospring.Policy{
				Version: version,
				Teams: map[string]pomelospring.PolicyTeam{
					"shop": {Name: "shop", TokensPerSecond: float64(version), Burst: float64(version)},
				},
			}, nil
		},
		DecodeVersion: func(record pomelospring.KeyedRecord) (string, int64, bool, error) {
			if record.Key == "spoiled" {
				return "", 0, false, errors.New("spoiled")
			}
			return record.Key, 2, true, nil
		},
	}
}

func record(key, value string, offset int64) pomelospring.KeyedRecord {
	return pomelospring.KeyedRecord{
		Key:    key,
		Value:  []byte(value),
		Offset: offset,
	}
}

func TestOperatorRecords(t *testing.T) {
	scenarios := []struct {
		name     string
		records  []pomelospring.KeyedRecord
		version  int64
		declared map[string]int64
	}{
		{
			name:    "the newest configuration becomes active",
			records: []pomelospring.KeyedRecord{record("config", "3", 0), record("config", "9", 1)},
			version: 9,
		},
		{
			name:    "a delayed older record is ignored",
			records: []pomelospring.KeyedRecord{record("config", "9", 5), record("config", "3", 1)},
			version: 9,
		},
		{
			name:    "a malformed configuration leaves the previous one active",
			records: []pomelospring.KeyedRecord{record("config", "3", 0), record("config", "?", 1)},
			version: 3,
		},
		{
			name:     "a malformed declaration does not block the next",
			records:  []pomelospring.KeyedRecord{record("config", "3", 0), record("spoiled", "", 1), record("m/a", "", 2)},
			version:  3,
			declared: map[string]int64{"m/a": 2},
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			board := fleet.NewBoard("north")
			newOperators(board, quota.NewLedger(1, func() float64 { return 0 })).AddRecords(scenario.records)
			if diff := cmp.Diff(scenario.version, board.Policy().Version); diff != "" {
				t.Error(diff)
			}
			if scenario.declared == nil {
				scenario.declared = map[string]int64{}
			}
			if diff := cmp.Diff(scenario.declared, board.DeclaredVersions()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTeamRatesMatchActivePolicy guards against a race: records arrive from the
// store and from other instances concurrently, and the ledger must end up with the
// rates of the active configuration.
func TestTeamRatesMatchActivePolicy(t *testing.T) {
	for range 2000 {
		board := fleet.NewBoard("north")
		ledger := quota.NewLedger(1, func() float64 { return 0 })
		operators := newOperators(board, ledger)
		var group sync.WaitGroup
		for version := 1; version <= 8; version++ {
			group.Go(func() {
				operators.AddRecords([]pomelospring.KeyedRecord{record("config", strconv.Itoa(version), int64(version))})
			})
		}
		group.Wait()
		ledger.ApplyReport(0, quota.LeaderReport{Leader: "a", Instances: 1, Known: 1, Interval: time.Hour}, time.Now())
		level := ledger.Level("shop", time.Now().Add(time.Minute))
		if diff := cmp.Diff(float64(board.Policy().Version), level); diff != "" {
			t.Fatal(diff)
		}
	}
}
