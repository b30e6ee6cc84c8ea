// Package history records what callers and backend servers saw during a soak, and
// judges it against what the system promises.
package history

import (
	"sync"
	"time"
)

// History is all that was seen in one soak.
type History struct {
	// Holders has the names of the instances by how they name themselves in orders.
	Holders      map[string]string `json:"holders"`
	Quotas       []Quota           `json:"quotas"`
	Requests     []Request         `json:"requests"`
	Arrivals     []Arrival         `json:"arrivals"`
	Faults       []Fault           `json:"faults"`
	Orders       []Order           `json:"orders"`
	Withdrawals  []Withdrawal      `json:"withdrawals"`
	Declarations []Declaration     `json:"declarations"`
	Departures   []Departure       `json:"departures"`
	Stops        []Stop            `json:"stops"`
	Recoveries   []Recovery        `json:"recoveries"`
	Levels       []Level           `json:"levels"`
}

// Quota limits the tokens of a team.
type Quota struct {
	Team            string  `json:"team"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	Burst           float64 `json:"burst"`
	// RequestTokens is what each request of the team counts.
	RequestTokens float64 `json:"requestTokens"`
}

// Request is one request of a caller, with the answer that the caller saw.
type Request struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Key      string    `json:"key"`
	Team     string    `json:"team"`
	Adapter  string    `json:"adapter"`
	Part     string    `json:"part,omitempty"`
	Sent     time.Time `json:"sent"`
	Ended    time.Time `json:"ended"`
	// Status is zero if no answer began.
	Status int `json:"status"`
	// EventCount is the number of events of a whole answer.
	EventCount int     `json:"eventCount"`
	Events     []Event `json:"events,omitempty"`
	// Broken is the error that ended the answer or the connection.
	Broken string `json:"broken,omitempty"`
	// Unreached says that no connection to the instance could be opened.
	Unreached bool `json:"unreached,omitempty"`
}

// Event is one event of an answer. It names what the backend server ran.
type Event struct {
	Number    int    `json:"number"`
	RequestID string `json:"requestID"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Team      string `json:"team"`
}

// Arrival is a request at a backend server.
type Arrival struct {
	RequestID string    `json:"requestID"`
	Server    string    `json:"server"`
	At        time.Time `json:"at"`
	// Part is a prompt part that crashes servers, or the name of a request that does.
	Part string `json:"part,omitempty"`
	// Ran says that the server began to run the request, and Completed that it wrote
	// the whole answer.
	Ran       bool `json:"ran"`
	Completed bool `json:"completed"`
	// Crashed says that the server ended under the request.
	Crashed bool `json:"crashed,omitempty"`
	// Leaving says that the answer announced that the server leaves.
	Leaving bool `json:"leaving,omitempty"`
	// PausedUntil is the end of the pause that the rejection asked for.
	PausedUntil time.Time `json:"pausedUntil,omitzero"`
	// Limit is the number of requests per second that the server named in its answer.
	Limit float64 `json:"limit,omitempty"`
}

// CrashingRequestPrefix begins the names of requests that crash servers.
const CrashingRequestPrefix = "bad-request-"

// Fault is a disturbance of an instance, a backend server or the store.
type Fault struct {
	Kind   string    `json:"kind"`
	Target string    `json:"target"`
	Begin  time.Time `json:"begin"`
	End    time.Time `json:"end"`
}

// Store is the target of faults of the metadata store.
const Store = "store"

// Order is an order of a leader at a model worker.
type Order struct {
	Server string    `json:"server"`
	Holder string    `json:"holder"`
	At     time.Time `json:"at"`
}

// Withdrawal is the moment at which operators removed a key.
type Withdrawal struct {
	Key string    `json:"key"`
	At  time.Time `json:"at"`
}

// Declaration is the moment at which operators declared a version of an adapter.
type Declaration struct {
	Adapter string    `json:"adapter"`
	Version int64     `json:"version"`
	At      time.Time `json:"at"`
}

// Departure is the moment at which the server list called a server draining.
type Departure struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
}

// Stop is the end of an instance's process.
type Stop struct {
	Instance string `json:"instance"`
	// Planned says that the process got SIGTERM and nothing else, and Forced that it
	// was killed. If both are unset it ended by itself.
	Planned     bool      `json:"planned"`
	Forced      bool      `json:"forced"`
	SignalledAt time.Time `json:"signalledAt"`
	EndedAt     time.Time `json:"endedAt"`
	ExitCode    int       `json:"exitCode"`
}

// Recovery is the time from the end of a disturbance to its effect's.
type Recovery struct {
	Subject string    `json:"subject"`
	Begin   time.Time `json:"begin"`
	// End is zero if there was none.
	End time.Time `json:"end,omitzero"`
}

// Level is the use of resources by the process of an instance, before and after
// the faults.
type Level struct {
	Instance string    `json:"instance"`
	Before   Resources `json:"before"`
	After    Resources `json:"after"`
}

// Resources are those of one process.
type Resources struct {
	Goroutines  int   `json:"goroutines"`
	Descriptors int   `json:"descriptors"`
	MemoryBytes int64 `json:"memoryBytes"`
}

// Recorder adds to a history from any goroutine.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Record calls add with the history, for one addition at a time.
func (r *Recorder) Record(add func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.history)
}

// History returns what has been recorded. Recording must have ended.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &r.history
}
