package blackboard

import (
	"sync"
	"time"
)

// usageRetention is how long rows are retained.
const usageRetention = time.Hour

// UsageRow counts what one instance served in one minute.
type UsageRow struct {
	// Minute is the start of the minute.
	Minute           time.Time `json:"minute"`
	Team             string    `json:"team"`
	Adapter          string    `json:"adapter"`
	Server           string    `json:"server"`
	Domain           string    `json:"domain"`
	Requests         int64     `json:"requests"`
	PromptTokens     int64     `json:"promptTokens"`
	CompletionTokens int64     `json:"completionTokens"`
	Refused          int64     `json:"refused"`
}

type usageKey struct {
	minute  time.Time
	team    string
	adapter string
	server  string
}

// Usage counts the requests and tokens that this instance served, by minute.
type Usage struct {
	mu   sync.Mutex
	rows map[usageKey]*UsageRow
}

// NewUsage returns an empty count.
func NewUsage() *Usage {
	return &Usage{
		rows: map[usageKey]*UsageRow{},
	}
}

// Add adds the counts of a row to the minute of now.
func (u *Usage) Add(row UsageRow, now time.Time) {
	key := usageKey{
		minute:  now.Truncate(time.Minute),
		team:    row.Team,
		adapter: row.Adapter,
		server:  row.Server,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	total, known := u.rows[key]
	if !known {
		u.removeOld(now)
		total = &UsageRow{
			Minute:  key.minute,
			Team:    row.Team,
			Adapter: row.Adapter,
			Server:  row.Server,
		}
		u.rows[key] = total
	}
	total.Requests += row.Requests
	total.PromptTokens += row.PromptTokens
	total.CompletionTokens += row.CompletionTokens
	total.Refused += row.Refused
}

func (u *Usage) removeOld(now time.Time) {
	for key := range u.rows {
		if now.Sub(key.minute) > usageRetention {
			delete(u.rows, key)
		}
	}
}

// Rows returns a copy of all rows.
func (u *Usage) Rows() []UsageRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	rows := make([]UsageRow, 0, len(u.rows))
	for _, row := range u.rows {
		rows = append(rows, *row)
	}
	return rows
}
