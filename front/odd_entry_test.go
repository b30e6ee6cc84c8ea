package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/platform"
)

// TestOddEntryEndsInstancesOrHidesServers guards against instances that end, or stop
// following the list, because another writer left an odd entry among those of the servers.
func TestOddEntryEndsInstancesOrHidesServers(t *testing.T) {
	entry := func(field, value string) string {
		fields := map[string]string{"service": `"llm"`, "address": `"127.0.0.1:9"`, "zone": `"north"`, "version": `"v1"`, "slots": "8", "state": `"ready"`, "born": "1000", "models": `[{"name":"m","adapters":["a1@1"]}]`}
		fields[field] = value
		pairs := make([]string, 0, len(fields))
		for name, text := range fields {
			pairs = append(pairs, fmt.Sprintf("%q:%s", name, text))
		}
		return "{" + strings.Join(pairs, ",") + "}"
	}
	odd := map[string]string{
		"nested lists":        strings.Repeat("[", 200_000),
		"nested objects":      entry("extra", strings.Repeat(`{"a":`, 9_900)+"1"+strings.Repeat("}", 9_900)),
		"nested models":       entry("models", strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)),
		"large number":        entry("slots", "1"+strings.Repeat("0", 400)),
		"slots beyond 64 bit": entry("slots", "92233720368547758080"),
		"start beyond 64 bit": entry("born", "1e400"),
		"start not whole":     entry("born", "1.5"),
		"port too large":      entry("address", `"127.0.0.1:70000"`),
		"negative port":       entry("address", `"127.0.0.1:-1"`),
		"port 0":              entry("address", `"127.0.0.1:0"`),
		"no port":             entry("address", `"127.0.0.1"`),
		"named port":          entry("address", `"127.0.0.1:http"`),
		"version a number":    entry("version", "3"),
		"no text":             "\xff\xfe\x00",
		"null":                "null",
	}
	store, address, w := newStoreWithWorker(t)
	i := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return i.serves("k1", "a1") })
	for name, value := range odd {
		store.Put(platform.ServerTopic, "odd-"+name, []byte(value))
	}
	// The list is read twice a second.
	time.Sleep(1200 * time.Millisecond)
	for n := range 10 {
		if !i.serves("k1", "a1") {
			t.Errorf("request %d is not served", n)
		}
	}
	another := startInstance(t, "b", address)
	eventually(t, "an instance that starts with the odd entries serves", func() bool { return another.serves("k1", "a1") })
	second := newWorker(t, "i-2")
	second.adapters["a9"] = true
	store.Put(platform.ServerTopic, second.id, second.entry("ready"))
	store.Put(platform.ServerTopic, w.id, w.entry("draining"))
	eventually(t, "the list is still followed", func() bool { return i.serves("k1", "a9") && another.serves("k1", "a9") })
	for _, running := range []*instance{i, another} {
		select {
		case err := <-running.done:
			t.Errorf("instance %s has ended: %v", running.config.Name, err)
		default:
		}
	}
}
