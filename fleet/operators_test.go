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

// newOperators decodes a configuration that is its version alone; the team's
// rate is the version too.
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

func TestOperatorsRecords(t *testing.T) {
	scenarios := []struct {
		name     string
		records  []pomelospring.KeyedRecord
		version  int64
		declared map[string]int64
	}{
		{
			name:    "the newest is in force",
			records: []pomelospring.KeyedRecord{record("config", "3", 0), record("config", "9", 1)},
			version: 9,
		},
		{
			name:    "an older record that comes late is not",
			records: []pomelospring.KeyedRecord{record("config", "9", 5), record("config", "3", 1)},
			version: 9,
		},
		{
			name:    "one that can't be read leaves the former in force",
			records: []pomelospring.KeyedRecord{record("config", "3", 0), record("config", "?", 1)},
			version: 3,
		},
		{
			name:     "a spoiled declaration does not hide the next",
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

// TestRatesAreThoseOfThePolicyInForce: records come from the store and from
// other instances at once.
func TestRatesAreThoseOfThePolicyInForce(t *testing.T) {
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
