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

// logUnderTest is one implementation of the log with its fault switch.
type logUnderTest struct {
	name     string
	log      pomelospring.Log
	faults   func(standin.Faults)
	truncate func(stream string, before int64)
}

// logs are the fake in this process, and the same behind its HTTP API.
func logs(t *testing.T) []logUnderTest {
	fake := standin.NewLog(time.Now, 0)
	behind := standin.NewLog(time.Now, 0)
	server := httptest.NewServer(behind.Handler())
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
			name:     "client and stand-in",
			log:      client,
			faults:   behind.SetFaults,
			truncate: behind.Truncate,
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

// logScenario is one thing that every log does.
type logScenario struct {
	name string
	run  func(t *testing.T, l logUnderTest) []string
	want []string
}

func soon() time.Time { return time.Now().Add(20 * time.Millisecond) }

func logOrder() []logScenario {
	ctx := context.Background()
	return []logScenario{
		{
			name: "records come back in order with their offsets",
			run: func(t *testing.T, l logUnderTest) []string {
				if offset, err := l.log.Append(ctx, "s1", records("a", "b")); err != nil || offset != 0 {
					t.Error(offset, err)
				}
				if offset, err := l.log.Append(ctx, "s1", records("c")); err != nil || offset != 2 {
					t.Error(offset, err)
				}
				batch, err := l.log.Read(ctx, "s1", 0, 10, soon())
				if err != nil || batch.Next != 3 {
					t.Error(batch.Next, err)
				}
				return idsOf(batch)
			},
			want: []string{"0a", "1b", "2c"},
		},
		{
			name: "a record comes back as it was",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s2", records("a"))
				batch, _ := l.log.Read(ctx, "s2", 0, 10, soon())
				if diff := cmp.Diff(records("a")[0], batch.Records[0].Record); diff != "" {
					t.Error(diff)
				}
				return nil
			},
		},
		{
			name: "a limit cuts the answer",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s3", records("a", "b", "c"))
				batch, _ := l.log.Read(ctx, "s3", 1, 1, soon())
				return idsOf(batch)
			},
			want: []string{"1b"},
		},
		{
			name: "a read at the end waits for news",
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
			name: "and ends without news at its deadline",
			run: func(t *testing.T, l logUnderTest) []string {
				batch, err := l.log.Read(ctx, "s5", 0, 10, soon())
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
			name: "records before the first retained one are gone, which is said",
			run: func(t *testing.T, l logUnderTest) []string {
				_, _ = l.log.Append(ctx, "s6", records("a", "b", "c"))
				l.truncate("s6", 2)
				batch, err := l.log.Read(ctx, "s6", 0, 10, soon())
				if !errors.Is(err, pomelospring.ErrTruncated) || batch.First != 2 {
					t.Error(batch.First, err)
				}
				batch, _ = l.log.Read(ctx, "s6", 2, 10, soon())
				return idsOf(batch)
			},
			want: []string{"2c"},
		},
		{
			name: "during an outage both calls fail",
			run: func(t *testing.T, l logUnderTest) []string {
				l.faults(standin.Faults{
					Down: true,
				})
				defer l.faults(standin.Faults{})
				if _, err := l.log.Append(ctx, "s7", records("a")); err == nil {
					t.Error("the append succeeds")
				}
				if _, err := l.log.Read(ctx, "s7", 0, 1, soon()); err == nil {
					t.Error("the read succeeds")
				}
				return nil
			},
		},
		{
			name: "an append whose answer is lost took effect",
			run: func(t *testing.T, l logUnderTest) []string {
				l.faults(standin.Faults{
					LoseAnswers: true,
				})
				defer l.faults(standin.Faults{})
				if _, err := l.log.Append(ctx, "s8", records("a")); err == nil {
					t.Error("the append says that it succeeded")
				}
				batch, _ := l.log.Read(ctx, "s8", 0, 10, soon())
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
	behind := standin.NewInstanceList(time.Now)
	server := httptest.NewServer(behind.Handler())
	t.Cleanup(server.Close)
	lists := map[string]pomelospring.InstanceList{
		"fake": standin.NewInstanceList(time.Now),
		"client and stand-in": &controlplane.InstanceList{
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
				t.Errorf("after its removal the list has %v", got)
			}
		})
	}
}

func TestWeightStoreContract(t *testing.T) {
	behind := standin.NewWeightStore(time.Millisecond)
	server := httptest.NewServer(behind.Handler())
	t.Cleanup(server.Close)
	stores := map[string]struct {
		store  pomelospring.WeightStore
		faults func(standin.Faults)
	}{
		"client and stand-in": {
			store: &controlplane.WeightStore{
				BaseURL: server.URL,
				Client:  http.DefaultClient,
			},
			faults: behind.SetFaults,
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
	for which, under := range stores {
		t.Run(which, func(t *testing.T) {
			if err := under.store.Fetch(context.Background(), name); err != nil {
				t.Error(err)
			}
			under.faults(standin.Faults{
				Down: true,
			})
			if err := under.store.Fetch(context.Background(), name); err == nil {
				t.Error("a fetch during an outage succeeds")
			}
		})
	}
}
