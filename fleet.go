package pomelospring

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// ResidentAdapter is an adapter that a model worker holds, in one version.
type ResidentAdapter struct {
	// Adapter has the form model/adapter.
	Adapter string
	Version int64
}

// Residency is what changed on one model worker.
type Residency struct {
	// Whole says that Ready lists all that the worker holds.
	Whole bool
	Ready []ResidentAdapter
	Gone  []string
}

// FleetServer is a backend server as the platform's list tells it.
type FleetServer struct {
	// ID changes with most starts of the server.
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is how many requests it runs at once.
	Slots int
	// Started is when this incarnation began.
	Started time.Time
	// Draining servers get no new requests.
	Draining bool
	// Models are the base models that it holds.
	Models   []string
	Resident []ResidentAdapter
}

// Holds reports whether the server holds a base model.
func (f *FleetServer) Holds(model string) bool {
	for _, name := range f.Models {
		if name == model {
			return true
		}
	}
	return false
}

// Equivalent reports whether two entries say the same, but for the adapters held.
func (f *FleetServer) Equivalent(other *FleetServer) bool {
	return f.ID == other.ID &&
		f.Service == other.Service &&
		f.Address == other.Address &&
		f.Domain == other.Domain &&
		f.Slots == other.Slots &&
		f.Started.Equal(other.Started) &&
		f.Draining == other.Draining &&
		slices.Equal(f.Models, other.Models)
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is one request of a caller, as the front decoded it.
type Call struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is its first part.
	Target string
	Path   string
	// Header is what is passed on to the backend server.
	Header http.Header
	Body   []byte
	Key    string
	// Adapter has the form model/adapter, or model alone; empty on plain services.
	Adapter string
	// PromptTokens and OutputTokens are what the caller declared; Counted says that it did.
	PromptTokens   int64
	OutputTokens   int64
	HasTokenCounts bool
	Parts          []PromptPart
	// ResumeAfter is the ID of the last event that the caller has; empty without one.
	ResumeAfter string
	Arrived     time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Model is the base model of the call.
func (c *Call) Model() string {
	model, _, _ := strings.Cut(c.Adapter, "/")
	return model
}

// AffinityKey names what the call likely shares with others: the part of its prompt
// before the last one, which is its own or its session's.
func (c *Call) AffinityKey() string {
	if len(c.Parts) < 2 {
		return c.ID
	}
	return c.Adapter + "|" + c.Parts[len(c.Parts)-2].ID
}

// NeedsAdapter reports whether the call runs on an adapter of a model.
func (c *Call) NeedsAdapter() bool {
	return strings.Contains(c.Adapter, "/")
}

// Dispatch is one try of a call at one backend server.
type Dispatch struct {
	Server FleetServer
	Team   string
	// Priority is the engine's, 0 first; negative for plain services.
	Priority int
	// AdapterVersion is the version that must serve; 0 for any.
	AdapterVersion int64
	// ResumeAfter is the ID of the last event that the caller was given.
	ResumeAfter string
	Deadline    time.Time
	// FreshConnection keeps the call off connections that were used before.
	FreshConnection bool
}

// BackendAnswer is an answer whose body has not been read yet.
type BackendAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun says that the backend server did not run the call and never will.
	NotRun bool
	// Misdirected says that another server answered, or lacks what the call needs.
	Misdirected bool
	// Signed says that the answer bears a backend server's signature.
	Signed bool
	// Length is the declared length of the body; -1 without one.
	Length int64
}

// ErrNotSent marks a failed dispatch of which nothing reached the backend server.
var ErrNotSent = errors.New("the call was not sent")

// Backend sends calls to backend servers.
type Backend interface {
	// Send returns the head of the answer. An error that wraps ErrNotSent
	// promises that the call has not run; after any other it may have.
	Send(ctx context.Context, call *Call, dispatch Dispatch) (answer *BackendAnswer, err error)
}

// OrderKind tells loads from unloads.
type OrderKind string

// The orders that a model worker takes.
const (
	LoadAdapter   OrderKind = "loadAdapter"
	UnloadAdapter OrderKind = "unloadAdapter"
	LoadModel     OrderKind = "loadModel"
)

// Order tells a model worker to load or unload.
type Order struct {
	Kind   OrderKind
	Server FleetServer
	// Adapter has the form model/adapter; on LoadModel it is the model alone.
	Adapter string
	// Version is 0 for the newest.
	Version int64
	// Sequence is the number of orders that the worker must have taken so far.
	Sequence int64
	Holder   string
	Fence    int64
}

// OrderResult is a model worker's answer to an order.
type OrderResult string

// The answers to orders.
const (
	// OrderAccepted is being carried out.
	OrderAccepted OrderResult = "accepted"
	// OrderDone holds already.
	OrderDone OrderResult = "done"
	// OrderConflict was not taken: another is in progress or the sequence differs.
	OrderConflict OrderResult = "conflict"
	// OrderRefused was not taken for good.
	OrderRefused OrderResult = "refused"
	// OrderUnknown got no answer; it may be carried out at any later time.
	OrderUnknown OrderResult = "unknown"
)

// EngineReport is what a model worker says of itself, a moment late.
type EngineReport struct {
	Sequence int64
	Started  time.Time
	Busy     bool
	Models   []string
	Resident []ResidentAdapter
	// Loading adapters count against the slots already.
	Loading []ResidentAdapter
}

// Engine gives orders to model workers.
type Engine interface {
	// Do sends an order; err says why the result is not what was wanted.
	Do(ctx context.Context, order Order) (result OrderResult, err error)
	// Report asks a model worker for its state.
	Report(ctx context.Context, server FleetServer) (report EngineReport, err error)
}

// Membership is one answer of the platform's group service.
type Membership struct {
	Generation int64
	// Parts is how many of the group's parts the member holds.
	Parts int
}

// GroupService hands the parts of groups to their live members.
type GroupService interface {
	// Join enters or renews a member until its time to live has passed.
	Join(ctx context.Context, group, member string, generation int64, timeToLive time.Duration) (membership Membership, err error)
	// Leave gives a member's parts up.
	Leave(ctx context.Context, group, member string) (err error)
	// Owners lists the members that hold parts, with how many.
	Owners(ctx context.Context, group string) (owners map[string]int, err error)
}

// KeyedRecord is a record of one of the platform's keyed topics, as it stands;
// an empty value drops the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// Coordinator is the instance that gives orders to model workers.
type Coordinator interface {
	// Place asks for an adapter on a model worker and returns the worker's ID
	// once it is there.
	Place(ctx context.Context, wish PlacementRequest) (outcome PlacementOutcome, err error)
}

// PlacementRequest asks for an adapter on a model worker.
type PlacementRequest struct {
	// Request is the call that waits for the adapter; empty for none.
	Request string
	Adapter string
	// Version is 0 for the newest.
	Version int64
	Domain  string
	// Deadline is when the caller stops waiting for the adapter.
	Deadline time.Time
	// Replica asks for one more worker than hold the adapter now.
	Replica bool
	// AtOnce asks for a no rather than a wait for room.
	AtOnce bool
	// Avoid names workers that refused the adapter just now.
	Avoid []string
}

// PlacementOutcome is what became of a wish.
type PlacementOutcome struct {
	// Server is empty where no worker could take the adapter.
	Server string
	// Version is the adapter's at the server.
	Version int64
	Reason  string
	// RetryAt is when asking again makes sense.
	RetryAt time.Time
}
