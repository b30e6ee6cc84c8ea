package measure_test

import (
	"math"
	"testing"

	"github.com/pomelospring/pomelospring/measure"
)

// expectedDistinct returns how many adapters are expected to be drawn at least once
// where the ranks are never dealt anew.
func expectedDistinct(popularity measure.Popularity, requests int) (expected float64) {
	total := 0.0
	for rank := 1; rank <= popularity.Adapters; rank++ {
		total += math.Pow(float64(rank), -popularity.Exponent)
	}
	for rank := 1; rank <= popularity.Adapters; rank++ {
		share := math.Pow(float64(rank), -popularity.Exponent) / total
		expected += 1 - math.Pow(1-share, float64(requests))
	}
	return expected
}

func TestCompulsoryLoadsMatchTheirExpectation(t *testing.T) {
	const (
		seeds     = 20
		tolerance = 0.02
	)
	scenarios := []struct {
		name       string
		popularity measure.Popularity
		requests   int
	}{
		{name: "one adapter", popularity: measure.Popularity{Adapters: 1, Exponent: 1.2}, requests: 100},
		{name: "all alike", popularity: measure.Popularity{Adapters: 1000}, requests: 1000},
		{name: "few popular ones", popularity: measure.Popularity{Adapters: 24000, Exponent: 1.2}, requests: 15000},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sum := 0
			for seed := range uint64(seeds) {
				sum += measure.RunCompulsoryLoads(measure.CompulsoryLoadCase{
					Popularity: s.popularity,
					Requests:   s.requests,
				}, seed)
			}
			mean, expected := float64(sum)/seeds, expectedDistinct(s.popularity, s.requests)
			if math.Abs(mean-expected) > tolerance*expected {
				t.Errorf("%.1f loads, expected %.1f", mean, expected)
			}
		})
	}
}

func TestCompulsoryLoadsRiseWithEachShift(t *testing.T) {
	loads := 0
	for shifts := range 4 {
		before := loads
		loads = measure.RunCompulsoryLoads(measure.CompulsoryLoadCase{
			Popularity: measure.Popularity{
				Adapters: 24000,
				Exponent: 1.2,
			},
			Requests: 15000,
			Shifts:   shifts,
		}, 1)
		if loads <= before {
			t.Errorf("%d loads with %d shifts, %d with one less", loads, shifts, before)
		}
	}
}
