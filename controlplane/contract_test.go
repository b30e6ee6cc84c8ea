package controlplane_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/controlplane"
	"github.com/pomelospring/pomelospring/standin"
)

// logUnderTest is one implementation of the log, with functions to inject faults
// and to drop old records.
type logUnderTest struct {
	name     string
	log      pomelospring.Log
	faults   func(standin.Faults)
	truncate func(stream string, before int64)
}

// logs returns the in-process fake log, and the HTTP client of another one.
func logs(t *testing.T) []logUnderTest {
	fake := standin.NewLog(time.Now, 0)
	served := standin.NewLog(time.Now, 0)
	server := httptest.NewServer(served.Handler())
	t.Cleanup(server.Close)
	client := &controlplane.Log{
		BaseURL: server.URL,
		Client:  http.DefaultClient,
	}
	return []logUnderTest{
		{
			name:     "fake",
			log:      fake,
			faults:   fake.SetFaults,
			truncate: fake.Truncate,
		},
		{
			name:     "HTTP client",
			log:      client,
			faults:   served.SetFaults,
			truncate: served.Truncate,
		},
	}
}

func records(ids ...string) []pomelospring.Record {
	made := make([]pomelospring.Record, 0, len(ids))
	for _, id := range ids {
		made = append(made, pomelospring.Record{
			ID:    id,
			Kind:  "kind",
			Stamp: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
			Body:  []byte(`{"a":1}`),
		})
	}
	return made
}

func idsOf(batch pomelospring.Batch) []string {
	ids := make([]string, 0, len(batch.Records))
	for _, record := range batch.Records {
		ids = append(ids, fmt.Sprint(record.Offset, record.ID))
	}
	return ids
}

// logScenario is one behavior that every implementation of the log must have.
type logScenario struct {
	name string
	run  func(t *testing.T, l logUnderTest) []string
	want []string
}

// shortDeadline returns the deadline of a read that need not wait for an append.
func shortDeadline() time.Time { return time.Now().Add(20 * time.Millisecond) }

func logOrder() []logScenario {
	ctx := context.Background()
	return []logScenario{
		{
			name: "records are read in order with their offsets",
			run: func(t *testing.T, l logUnderTest) []string {
				if offset, err := l.log.Append(ctx, "s1", records("a", "b")); err != nil || offset != 0 {
					t.Error(offset, err)
				}
				if offset, err := l.log.Append(ctx, "s1", records("c")); err != nil || offset != 2 {
					t.Error(offset, err)
				}
				batch, err := l.log.Read(ctx, "s1", 0, 10, shortDeadline())
				if err != nil || batch.Next != 3 {
					t.Error(batch.Next, err)
				}
				return idsOf(batch)
			},
			want: []string{"0a", "1b", "2c"},
		},
		{
			name: "a record is read as it was appended",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s2", records("a"))
				batch, _ := l.log.Read(ctx, "s2", 0, 10, shortDeadline())
				if diff := cmp.Diff(records("a")[0], batch.Records[0].Record); diff != "" {
					t.Error(diff)
				}
				return nil
			},
		},
		{
			name: "a read returns at most limit records",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s3", records("a", "b", "c"))
				batch, _ := l.log.Read(ctx, "s3", 1, 1, shortDeadline())
				return idsOf(batch)
			},
			want: []string{"1b"},
		},
		{
			name: "a read at the end waits for new records",
			run: func(t *testing.T, l logUnderTest) []string {
				time.AfterFunc(30*time.Millisecond, func() { _, _ = l.log.Append(ctx, "s4", records("a")) })
				batch, err := l.log.Read(ctx, "s4", 0, 10, time.Now().Add(5*time.Second))
				if err != nil {
					t.Error(err)
				}
				return idsOf(batch)
			},
			want: []string{"0a"},
		},
		{
			name: "a read at the end returns no records at its deadline",
			run: func(t *testing.T, l logUnderTest) []string {
				batch, err := l.log.Read(ctx, "s5", 0, 10, shortDeadline())
				if err != nil {
					t.Error(err)
				}
				return idsOf(batch)
			},
			want: []string{},
		},
	}
}

func logFaults() []logScenario {
	ctx := context.Background()
	return []logScenario{
		{
			name: "a read of truncated records fails with the first retained offset",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s6", records("a", "b", "c"))
				l.truncate("s6", 2)
				batch, err := l.log.Read(ctx, "s6", 0, 10, shortDeadline())
				if !errors.Is(err, pomelospring.ErrTruncated) || batch.First != 2 {
					t.Error(batch.First, err)
				}
				batch, _ = l.log.Read(ctx, "s6", 2, 10, shortDeadline())
				return idsOf(batch)
			},
			want: []string{"2c"},
		},
		{
			name: "appends and reads fail during an outage",
			run: func(t *testing.T, l logUnderTest) []string {
				l.faults(standin.Faults{
					Down: true,
				})
				defer l.faults(standin.Faults{})
				if _, err := l.log.Append(ctx, "s7", records("a")); err == nil {
					t.Error("the append succeeds during an outage")
				}
				if _, err := l.log.Read(ctx, "s7", 0, 1, shortDeadline()); err == nil {
					t.Error("the read succeeds during an outage")
				}
				return nil
			},
		},
		{
			name: "an append whose reply is lost takes effect",
			run: func(t *testing.T, l logUnderTest) []string {
				l.faults(standin.Faults{
					LoseAnswers: true,
				})
				defer l.faults(standin.Faults{})
				if _, err := l.log.Append(ctx, "s8", records("a")); err == nil {
					t.Error("the append succeeds although its reply is lost")
				}
				batch, _ := l.log.Read(ctx, "s8", 0, 10, shortDeadline())
				return idsOf(batch)
			},
			want: []string{"0a"},
		},
	}
}

func TestLogContract(t *testing.T) {
	for _, l := range logs(t) {
		for _, scenario := range append(logOrder(), logFaults()...) {
			t.Run(l.name+": "+scenario.name, func(t *testing.T) {
				if diff := cmp.Diff(scenario.want, scenario.run(t, l)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

func TestInstanceListContract(t *testing.T) {
	ctx := context.Background()
	served := standin.NewInstanceList(time.Now)
	server := httptest.NewServer(served.Handler())
	t.Cleanup(server.Close)
	lists := map[string]pomelospring.InstanceList{
		"fake": standin.NewInstanceList(time.Now),
		"HTTP client": &controlplane.InstanceList{
			BaseURL: server.URL,
			Client:  http.DefaultClient,
		},
	}
	instance := pomelospring.Instance{
		ID:          "i",
		Domain:      "a",
		PeerAddress: "127.0.0.1:1",
		Leaving:     true,
	}
	for name, list := range lists {
		t.Run(name, func(t *testing.T) {
			if err := list.Put(ctx, instance, time.Now().Add(time.Minute)); err != nil {
				t.Fatal(err)
			}
			if err := list.Put(ctx, pomelospring.Instance{ID: "old"}, time.Now().Add(-time.Minute)); err != nil {
				t.Fatal(err)
			}
			got, err := list.List(ctx)
			if diff := cmp.Diff([]pomelospring.Instance{instance}, got); diff != "" || err != nil {
				t.Error(diff, err)
			}
			if err := list.Remove(ctx, "i"); err != nil {
				t.Fatal(err)
			}
			if got, _ = list.List(ctx); len(got) != 0 {
				t.Errorf("after the removal the list has %v, want none", got)
			}
		})
	}
}

func TestWeightStoreContract(t *testing.T) {
	served := standin.NewWeightStore(time.Millisecond)
	server := httptest.NewServer(served.Handler())
	t.Cleanup(server.Close)
	stores := map[string]struct {
		store  pomelospring.WeightStore
		faults func(standin.Faults)
	}{
		"HTTP client": {
			store: &controlplane.WeightStore{
				BaseURL: server.URL,
				Client:  http.DefaultClient,
			},
			faults: served.SetFaults,
		},
	}
	fake := standin.NewWeightStore(time.Millisecond)
	stores["fake"] = struct {
		store  pomelospring.WeightStore
		faults func(standin.Faults)
	}{
		store:  fake,
		faults: fake.SetFaults,
	}
	name := pomelospring.AdapterVersion{
		Adapter: "billing",
		Version: "v1",
	}
	for implementation, tested := range stores {
		t.Run(implementation, func(t *testing.T) {
			if err := tested.store.Fetch(context.Background(), name); err != nil {
				t.Error(err)
			}
			tested.faults(standin.Faults{
				Down: true,
			})
			if err := tested.store.Fetch(context.Background(), name); err == nil {
				t.Error("a fetch during an outage succeeds")
			}
		})
	}
}
