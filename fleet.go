package pomelospring

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ResidentAdapter is an adapter, in one version, that is loaded on a model
// worker.
type ResidentAdapter struct {
	// Adapter has the form model/adapter.
	Adapter string
	Version int64
}

// Residency is a change of the adapters that are loaded on a model worker.
type Residency struct {
	// Whole is set if Ready is the full list rather than the additions.
	Whole bool
	Ready []ResidentAdapter
	// Gone lists adapters that were removed, in the form model/adapter.
	Gone []string
}

// FleetServer is a backend server as the platform's server list describes it.
type FleetServer struct {
	// ID changes on most restarts of the server, but not on all.
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Started is when the server was last started.
	Started time.Time
	// Software is the version of the server's software; empty if its entry names none.
	Software string
	// ColdUntil is when the server stops being cold, as far as its entry says; zero if it
	// says nothing, and NotCold if it says that it isn't.
	ColdUntil time.Time
	// Draining servers get no new requests.
	Draining bool
	// Awaited is set while the server's entry is gone but may have expired, so that the
	// server has to register again.
	Awaited bool
	// Models lists the loaded base models.
	Models   []string
	Resident []ResidentAdapter
}

// Holds reports whether a base model is loaded on the server.
func (f *FleetServer) Holds(model string) bool {
	for _, name := range f.Models {
		if name == model {
			return true
		}
	}
	return false
}

// NotCold is until when a server is cold whose entry says that it isn't. It lies before
// whatever an instance's clock may be set to.
var NotCold = time.Unix(0, 0)

// Equivalent reports whether two entries are equal apart from their adapters.
func (f *FleetServer) Equivalent(other *FleetServer) bool {
	return f.ID == other.ID &&
		f.Service == other.Service &&
		f.Address == other.Address &&
		f.Domain == other.Domain &&
		f.Slots == other.Slots &&
		f.Started.Equal(other.Started) &&
		f.Software == other.Software &&
		f.Draining == other.Draining &&
		f.ColdUntil.Equal(other.ColdUntil) &&
		f.Awaited == other.Awaited &&
		slices.Equal(f.Models, other.Models)
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is a caller's request as the front decoded it.
type Call struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is the path
	// alone.
	Target string
	Path   string
	// Header holds the headers that are forwarded to the backend server.
	Header http.Header
	Body   []byte
	Key    string
	// Adapter has the form model/adapter, or model alone; empty on plain services.
	Adapter string
	// PromptTokens and OutputTokens are the counts that the caller declared;
	// HasTokenCounts is set if it declared them.
	PromptTokens   int64
	OutputTokens   int64
	HasTokenCounts bool
	Parts          []PromptPart
	// ResumeAfter is the ID of the last event that the caller has received; empty
	// for none.
	ResumeAfter string
	// Resumes is the ID of the call that brought the caller the first event of the stream
	// that this call goes on with; empty for none.
	Resumes string
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Homes are the regions that the call must not leave, once it is admitted.
	Homes Homes
	// Memory grants memory for what the call holds beside its body; nil grants all.
	Memory Memory
}

// Model returns the base model of the call.
func (c *Call) Model() string {
	model, _, _ := strings.Cut(c.Adapter, "/")
	return model
}

// AffinityKey returns a key that calls with a common prompt prefix share. It is
// made from the last prompt part but one, as the last part usually belongs to
// this call or its session alone.
func (c *Call) AffinityKey() string {
	if len(c.Parts) < 2 {
		return c.ID
	}
	return c.Adapter + "|" + c.Parts[len(c.Parts)-2].ID
}

// SharedParts returns the IDs of the prompt parts that other calls may share: all
// but the last, which belongs to this call or its session.
func (c *Call) SharedParts() (ids []string) {
	for _, part := range c.Parts[:max(0, len(c.Parts)-1)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// fingerprintPrefix begins the fingerprints of calls, and no ID of a prompt part.
const fingerprintPrefix = "request:"

// IsFingerprint reports whether a text is a fingerprint of a call.
func IsFingerprint(text string) bool { return strings.HasPrefix(text, fingerprintPrefix) }

// Fingerprint identifies calls of one caller with the same target and body.
func (c *Call) Fingerprint() string {
	digest := xxhash.New()
	for _, field := range []string{c.Method, strings.ToLower(c.Host), c.Target, c.Key} {
		// The lengths keep fields apart.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(field), field)
	}
	_, _ = digest.Write(c.Body)
	return fmt.Sprintf("%s%016x", fingerprintPrefix, digest.Sum64())
}

// NeedsAdapter reports whether the call runs on an adapter of a model.
func (c *Call) NeedsAdapter() bool {
	return strings.Contains(c.Adapter, "/")
}

// Dispatch is one attempt to run a call on a backend server.
type Dispatch struct {
	Server FleetServer
	Team   string
	// Priority is the rank that is sent to a model worker, 0 for the highest;
	// negative for plain services, to which none is sent.
	Priority int
	// AdapterVersion is the version that must serve the call; 0 for any.
	AdapterVersion int64
	// ResumeAfter is the ID of the last event that was sent to the caller.
	ResumeAfter string
	Deadline    time.Time
	// FreshConnection sends the call on a new connection: a reused one may be
	// closed by the server, which leaves unknown whether the call ran.
	FreshConnection bool
}

// ServerNotice is what a backend server announces about itself in an answer.
type ServerNotice struct {
	// Leaving is set if the server takes no new work until it is started anew.
	Leaving bool
	// PausedUntil is when the server accepts requests of this instance again; zero
	// if it asked for no pause.
	PausedUntil time.Time
	// RequestsPerSecond is the limit of what the server takes from all instances
	// together; 0 if the answer names none. LimitEnded is set if a limit named before
	// no longer holds.
	RequestsPerSecond float64
	LimitEnded        bool
	// Brittle is set if the server falls over when it has to turn more than
	// RejectionsPerSecond requests away within a second. BrittleEnded is set if the answer
	// shows that it isn't brittle any longer.
	Brittle             bool
	RejectionsPerSecond float64
	BrittleEnded        bool
	// ColdUntil is when the server stops being cold; zero if the answer names no time.
	ColdUntil time.Time
	// Load is what the server says of its load; zero if the answer says nothing.
	Load ServerLoadReport
}

// ServerLoadReport is what a backend server says of its load at the moment of an answer.
type ServerLoadReport struct {
	// Running and Waiting count its calls, and Slots those that it runs at once.
	Running int
	Waiting int
	Slots   int
	// TimeFactor is the time that work takes there relative to usual; 0 if it is not
	// said.
	TimeFactor float64
}

// BackendAnswer is a backend server's answer whose body is not read yet.
type BackendAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the backend server did not run the call and never will.
	NotRun bool
	// Misdirected is set if another server answered, or if the server lacks what
	// the call needs.
	Misdirected bool
	// Signed is set if the answer bears a backend server's signature.
	Signed bool
	// Length is the declared length of the body in bytes; -1 if unknown.
	Length int64
	// EndsWithConnection is set if only the end of the connection ends the body, so
	// that a whole one and one that its server broke off look the same.
	EndsWithConnection bool
	Notice             ServerNotice
}

// ErrNotSent marks a failed dispatch of which nothing reached the backend
// server.
var ErrNotSent = errors.New("the call was not sent")

// ErrEvacuated marks a dispatch that was not sent because its server's failure domain is
// evacuated. It wraps ErrNotSent.
var ErrEvacuated = fmt.Errorf("%w: the failure domain is evacuated", ErrNotSent)

// Backend sends calls to backend servers.
type Backend interface {
	// Send returns once the head of the answer has arrived. An error that wraps
	// ErrNotSent guarantees that the call did not run; after any other it may
	// have run.
	Send(ctx context.Context, call *Call, dispatch Dispatch) (answer *BackendAnswer, err error)
}

// OrderKind is the kind of an order to a model worker.
type OrderKind string

// The orders that a model worker accepts.
const (
	LoadAdapter   OrderKind = "loadAdapter"
	UnloadAdapter OrderKind = "unloadAdapter"
	LoadModel     OrderKind = "loadModel"
)

// Order tells a model worker to load a base model or to load or unload an
// adapter.
type Order struct {
	Kind   OrderKind
	Server FleetServer
	// Adapter has the form model/adapter; on LoadModel it is the model alone.
	Adapter string
	// Version is 0 for the newest version.
	Version int64
	// Sequence is the number of orders that the worker must have accepted so far;
	// it refuses this one if the number differs.
	Sequence int64
	// Holder identifies the instance that holds the leadership, and Fence is its
	// fencing number.
	Holder string
	Fence  int64
}

// OrderResult is a model worker's answer to an order.
type OrderResult string

// The results of orders.
const (
	// OrderAccepted means that the worker is executing the order.
	OrderAccepted OrderResult = "accepted"
	// OrderDone means that the worker is already in the requested state.
	OrderDone OrderResult = "done"
	// OrderConflict means that the worker did not accept the order because
	// another one is in progress or the sequence number differs.
	OrderConflict OrderResult = "conflict"
	// OrderRefused means that the worker rejected the order for good.
	OrderRefused OrderResult = "refused"
	// OrderUnknown means that no answer came; the worker may still execute the
	// order at any later time.
	OrderUnknown OrderResult = "unknown"
)

// EngineReport is a model worker's report on itself. It lags slightly behind
// the worker.
type EngineReport struct {
	Sequence int64
	Started  time.Time
	Busy     bool
	Models   []string
	Resident []ResidentAdapter
	// Loading lists the adapters that are being loaded; each already takes a
	// slot.
	Loading []ResidentAdapter
}

// ErrServerEnded marks a report that could not be had because the model worker has
// ended: nothing listens at its address, or another worker does. ErrSilent marks one
// that was requested over an open connection and not answered in time.
var (
	ErrServerEnded = errors.New("the model worker has ended")
	ErrSilent      = errors.New("the model worker does not answer")
)

// Engine sends orders to model workers and reads their reports.
type Engine interface {
	// Do sends an order and bounds the wait for its result. err is set unless the
	// order was accepted or is done.
	Do(ctx context.Context, order Order) (result OrderResult, err error)
	// Report asks a model worker for its state. An error that wraps ErrServerEnded
	// guarantees that the worker has ended; one that wraps ErrSilent says that it
	// accepted the connection and did not answer in time.
	Report(ctx context.Context, server FleetServer) (report EngineReport, err error)
}

// Membership is a member's state in a group, as the platform's group service
// returns it.
type Membership struct {
	// Era is the store's era in which the membership holds; memberships end with
	// their era.
	Era int64
	// Generation rises with each change of the group, and with the era.
	Generation int64
	// Parts is the number of the group's partitions that the member holds.
	Parts int
}

// Ownership is the number of partitions of each member of a group that holds any.
type Ownership struct {
	Era    int64
	Owners map[string]int
	// EraSettled says that a member marked the era as settled.
	EraSettled bool
}

// GroupService assigns the partitions of groups to their live members.
type GroupService interface {
	// Join adds a member, or renews it, for its time to live.
	Join(ctx context.Context, group, member string, generation int64, timeToLive time.Duration) (membership Membership, err error)
	// MarkEraSettled records in the group that all memberships of earlier eras have
	// ended. generation is that of the member, who holds all partitions.
	MarkEraSettled(ctx context.Context, group, member string, generation int64) (err error)
	// Leave releases a member's partitions.
	Leave(ctx context.Context, group, member string) (err error)
	// Owners returns the number of partitions of each member that holds any.
	Owners(ctx context.Context, group string) (ownership Ownership, err error)
}

// BlockStore holds a record of each block of requests that end backend servers, so that
// blocks outlast the instances.
type BlockStore interface {
	// BlockRecords returns all records, and the position up to which they were read.
	BlockRecords(ctx context.Context) (records []KeyedRecord, end TopicPosition, err error)
	// WriteBlockRecord replaces the record of a key; without a value it removes it.
	WriteBlockRecord(ctx context.Context, key string, value []byte) (err error)
}

// KeyedRecord is the latest record of a key in one of the platform's keyed
// topics; an empty value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
	// Era and Offset are the position at which the record was read.
	Era    int64
	Offset int64
	// Revision is the version that the content states, or 0; set once it was decoded.
	Revision int64
}

// Position returns the record's position in its topic.
func (k *KeyedRecord) Position() TopicPosition {
	return TopicPosition{
		Era:    k.Era,
		Offset: k.Offset,
	}
}

// TopicPosition is a position in a topic of the platform's store.
type TopicPosition struct {
	// Era rises by one each time the store is restored from a copy, which gives
	// offsets out again. It is 0 where the store doesn't say it.
	Era    int64
	Offset int64
}

// Before reports whether a position is older than another one.
func (t TopicPosition) Before(other TopicPosition) bool {
	if t.Era != other.Era {
		return t.Era < other.Era
	}
	return t.Offset < other.Offset
}

// Later returns the newer one of two positions.
func (t TopicPosition) Later(other TopicPosition) TopicPosition {
	if t.Before(other) {
		return other
	}
	return t
}

// Coordinator passes requests to the leader of a failure domain: the instance that
// sends orders to its model workers and shares out its servers' limits.
type Coordinator interface {
	// Place requests an adapter on a model worker and returns the worker's ID
	// once the adapter is resident there.
	Place(ctx context.Context, request PlacementRequest) (outcome PlacementOutcome, err error)
	// MayTry reports whether a call that is blocked may be let through, to see whether
	// servers still end under what block names. It grants few calls of the whole fleet.
	MayTry(ctx context.Context, block string) bool
	// Reserve asks for the time at which a call of a team may be sent to a server that
	// names a limit, not later than latest.
	Reserve(ctx context.Context, server FleetServer, team string, latest time.Time) (reservation Reservation)
}

// PermitIssuer gives out permits for calls to brittle backend servers, so that all
// instances together send no more than these have room for.
type PermitIssuer interface {
	// AskPermit asks for a permit, and waits for one until request.Until if it is likely
	// to get one.
	AskPermit(ctx context.Context, request PermitRequest) (permit Permit)
	// ReturnPermit ends a permit, with how its call ended.
	ReturnPermit(permit Permit, outcome PermitOutcome)
}

// PermitRequest asks for a permit to send a call of a team to one of several brittle
// servers of one failure domain, in order of preference.
type PermitRequest struct {
	Team    string
	Servers []FleetServer
	// Until is when the request stops waiting, and ExpiresAt when its permit ends if it
	// is not returned before.
	Until     time.Time
	ExpiresAt time.Time
}

// Permit allows one call to be under way at a brittle server.
type Permit struct {
	// Granted is set if the call may be sent to Server.
	Granted bool
	Server  string
	// RetryAt is when a permit is likely to be free if none was granted.
	RetryAt time.Time
	// Domain and Number identify the permit.
	Domain string
	Number int64
}

// PermitOutcome says how a call with a permit ended.
type PermitOutcome int

// The outcomes of calls with permits: the server took it, turned it away, could not be
// reached or broke off, or the call was not sent.
const (
	PermitServed PermitOutcome = iota
	PermitRejected
	PermitBroken
	PermitUnsent
)

// Reservation is when a call may be sent to a backend server that names a limit.
type Reservation struct {
	// Granted is set if the call may be sent at At.
	Granted bool
	At      time.Time
	// NextAt is the earliest time for which the next reservation may be granted.
	NextAt time.Time
}

// PlacementRequest asks the leader to make an adapter resident on a model
// worker.
type PlacementRequest struct {
	// Request is the ID of the call that waits for the adapter; empty for none.
	Request string
	Adapter string
	// Version is 0 for the newest version.
	Version int64
	Domain  string
	// Deadline is when the caller stops waiting for the adapter.
	Deadline time.Time
	// Replica asks for a worker in addition to those that already hold the
	// adapter.
	Replica bool
	// Optional says that no call waits for the adapter: only adapters unused for
	// long are evicted for it.
	Optional bool
	// OwnDomain asks for a worker in Domain only.
	OwnDomain bool
	// Homes are the regions in which the worker may be.
	Homes Homes
	// AtOnce asks to fail rather than to wait for a free slot.
	AtOnce bool
	// Avoid lists workers that have just failed the call, and Missing those that
	// answered that they lack the adapter.
	Avoid   []string
	Missing []string
	// Unusable lists workers that the instance sends nothing to, although they
	// have not failed.
	Unusable []string
}

// PlacementOutcome is the result of a placement request.
type PlacementOutcome struct {
	// Server is the ID of the worker that has the adapter; empty if no worker
	// could take it.
	Server string
	// Version is the adapter's version on the server.
	Version int64
	Reason  string
	// RetryAt is when a new request may succeed.
	RetryAt time.Time
}
