package main

import (
	"time"

	"github.com/pomelospring/pomelospring/review/fleet3"
)

const (
	// touchTime is the deployment's stable-window-ms.
	touchTime = 3 * time.Second
	// maxRetries is how many requests with a bad part may come late.
	maxRetries = 3
	orderPath  = "/orders/"
)

// plainConfiguration has the route and service of orders of a small deployment.
func plainConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "service-order", "host": fleet3.Host, "path-prefix": orderPath, "kind": "non_idempotent", "timeout-ms": 800, "target-latency-ms": 300, "priority": 2, "service": "cis-app", "max-attempts": 1},
		},
		"services": []any{map[string]any{"name": "cis-app", "health-path": "/health", "max-conns": 96}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		"tenants": []any{
			map[string]any{"name": "tenant-one", "api-keys": []string{fleet3.Key}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 1e6, "burst": 1e6},
		},
	}
}
