package events_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/events"
)

func TestCatalogueIsCompleteAndMatchesThePage(t *testing.T) {
	numbers := map[int]string{}
	names := map[string]bool{}
	for _, event := range events.Catalogue() {
		if other, taken := numbers[event.Number]; taken || names[event.Name] {
			t.Errorf("event %d %s has the number or name of another event, %q", event.Number, event.Name, other)
		}
		if event.Meaning == "" {
			t.Errorf("event %d has no meaning", event.Number)
		}
		numbers[event.Number] = event.Name
		names[event.Name] = true
	}
	var want bytes.Buffer
	events.WritePage(&want)
	got, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.String(), string(got)); diff != "" {
		t.Errorf("run pomelospringd events > docs/EVENTS.md: %s", diff)
	}
}
