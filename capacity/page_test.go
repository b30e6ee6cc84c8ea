package capacity_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/capacity"
)

func TestCapacityPageMatchesMeasurements(t *testing.T) {
	text, err := os.ReadFile("../docs/measurements/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(text, &slopes); err != nil {
		t.Fatal(err)
	}
	for _, slope := range slopes {
		if len(slope.Points) < 3 {
			t.Errorf("%s was measured at %d sizes", slope.Name, len(slope.Points))
		}
	}
	var want bytes.Buffer
	capacity.WritePage(&want, slopes)
	got, err := os.ReadFile("../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.String(), string(got)); diff != "" {
		t.Errorf("docs/CAPACITY.md is out of date, run bin/measure capacity > docs/CAPACITY.md: %s", diff)
	}
}
