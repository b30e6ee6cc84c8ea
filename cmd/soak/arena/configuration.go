package arena

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/platform"
)

const (
	host         = "shop.example"
	streamPath   = "/proof/"
	orderPath    = "/orders/"
	modelService = "llm"
	orderService = "orders"
	modelName    = "m"
	// withdrawableKeys is the number of keys that can be withdrawn in a soak.
	withdrawableKeys = 4
	// maxAttempts is that of all routes.
	maxAttempts = 2
	// withoutLimit is a rate and a burst that no team reaches.
	withoutLimit = 1_000_000_000
	// floodKey is that of a team that sends more than its quota allows. Each of its
	// requests counts floodRequestTokens.
	floodKey           = "flood-key"
	floodRate          = 200_000
	floodRequestTokens = 10_000
)

// soundKeys are never withdrawn. Each is that of a team.
var soundKeys = []string{"grid-key", "signs-key"}

// teamOf returns the team of a key, TEAM-KEY.
func teamOf(key string) string {
	team, _, _ := strings.Cut(key, "-")
	return team
}

// operator publishes configurations.
type operator struct {
	published *publications
	recorder  *history.Recorder

	mu        sync.Mutex
	version   int
	keys      []string
	withdrawn int
	// versions has the newest versions of adapters beyond the first.
	versions map[string]int64
}

func newOperator(published *publications, recorder *history.Recorder) *operator {
	o := &operator{
		published: published,
		recorder:  recorder,
		versions:  map[string]int64{},
		keys:      append([]string{}, soundKeys...),
	}
	for n := range withdrawableKeys {
		o.keys = append(o.keys, fmt.Sprintf("grid-withdrawable%d", n))
	}
	return o
}

// change publishes a configuration with one more route.
func (o *operator) change() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publish()
}

// withdraw publishes a configuration without one of the keys, while there are any.
func (o *operator) withdraw() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.withdrawn < withdrawableKeys {
		o.withdrawn++
	}
	o.publish()
	key := o.keys[len(soundKeys)+o.withdrawn-1]
	o.recorder.Record(func(h *history.History) {
		h.Withdrawals = append(h.Withdrawals, history.Withdrawal{
			Key: key,
			At:  time.Now(),
		})
	})
}

// declare declares the next version of an adapter.
func (o *operator) declare(adapter string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := max(1, o.versions[adapter]) + 1
	record, err := json.Marshal(map[string]any{
		"model":   modelName,
		"adapter": adapter,
		"version": version,
	})
	if err != nil {
		return
	}
	o.versions[adapter] = version
	o.recorder.Record(func(h *history.History) {
		h.Declarations = append(h.Declarations, history.Declaration{
			Adapter: adapter,
			Version: version,
			At:      time.Now(),
		})
	})
	o.published.put(platform.OperatorTopic, "version/"+modelName+"."+adapter, record)
}

// newestVersion returns the newest version of an adapter.
func (o *operator) newestVersion(adapter string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(1, o.versions[adapter])
}

func (o *operator) publish() {
	o.version++
	keys := map[string][]string{}
	for n, key := range o.keys {
		if n < len(soundKeys) || n >= len(soundKeys)+o.withdrawn {
			keys[teamOf(key)] = append(keys[teamOf(key)], key)
		}
	}
	teams := make([]any, 0, len(soundKeys)+1)
	for _, key := range soundKeys {
		teams = append(teams, map[string]any{
			"name":         teamOf(key),
			"api-keys":     keys[teamOf(key)],
			"unit":         "tokens",
			"plain-tokens": 1,
			"rate-per-s":   withoutLimit,
			"burst":        withoutLimit,
		})
	}
	teams = append(teams, map[string]any{
		"name":         teamOf(floodKey),
		"api-keys":     []string{floodKey},
		"unit":         "tokens",
		"plain-tokens": floodRequestTokens,
		"rate-per-s":   floodRate,
		"burst":        floodRate,
	})
	record, err := json.Marshal(map[string]any{
		"version": o.version,
		"routes": []any{
			route("proof", streamPath, "streaming", modelService),
			route("orders", orderPath, "non_idempotent", orderService),
			route("added", fmt.Sprintf("/added%d/", o.version), "safe", orderService),
		},
		"services": []any{
			map[string]any{
				"name": modelService,
				"engine": map[string]any{
					"adapter-slots": workerSlots,
					"loads-per-s":   1,
					"models":        []any{map[string]any{"name": modelName, "load-s": 1}},
				},
			},
			map[string]any{"name": orderService},
		},
		"limits":  map[string]any{"max-body-bytes": 1 << 20},
		"tenants": teams,
	})
	if err == nil {
		o.published.put(platform.OperatorTopic, platform.PolicyKey, record)
	}
}

func route(name, path, kind, service string) map[string]any {
	return map[string]any{
		"name":         name,
		"host":         host,
		"path-prefix":  path,
		"kind":         kind,
		"timeout-ms":   requestTimeout.Milliseconds(),
		"service":      service,
		"max-attempts": maxAttempts,
	}
}
