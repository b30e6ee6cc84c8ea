package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/connection"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/peer"
)

const (
	// offerTimeout bounds the time until another instance accepts an attempt.
	offerTimeout = 400 * time.Millisecond
	// maxRelaysAsked bounds the instances that are asked to send one attempt.
	maxRelaysAsked = 3
	// relayAvoidTime is how long an instance that did not answer is not asked, and one
	// that refused is not asked for the same server.
	relayAvoidTime = time.Second
	// maxAvoided bounds the instances and servers that are remembered as avoided.
	maxAvoided = 4096
	// relayListAge is the age from which the list of instances to ask is renewed while
	// paths are broken.
	relayListAge = time.Second
	// closeTimeout bounds the wait for the other side to close a stream that ended.
	closeTimeout = time.Second
	// regionAge is how long the region of an instance is remembered: another build may be
	// started there.
	regionAge = 10 * time.Second
	// chunkBytes is the size of the parts in which bodies are sent.
	chunkBytes = 32 << 10
)

// errNoRelay, errOutsideHomes and errUnreachable are why an attempt was not sent through another instance.
var (
	errNoRelay      = fmt.Errorf("%w: no instance to send through", pomelospring.ErrNotSent)
	errOutsideHomes = fmt.Errorf("%w: the instance is outside the call's homes", pomelospring.ErrNotSent)
	errUnreachable  = fmt.Errorf("%w: other instances don't reach the server either", pomelospring.ErrNotSent)
)

// Client sends attempts through other instances.
type Client struct {
	// Instance is this instance's name, and Address its address for other instances.
	Instance string
	Address  string
	Peers    *peer.Client
	Board    *fleet.Board
	// Notices records what other instances know of servers that they refuse to send to.
	Notices fleet.Notices
	// Leaders returns the addresses of leaders, to be asked while no others are known.
	Leaders func() []string
	// Server sends attempts of other instances.
	Server *Server
	Logger log.Interface
	Clock  pomelospring.Clock

	mu       sync.Mutex
	known    []string
	listedAt time.Time
	// sending counts the attempts under way by instance.
	sending map[string]int
	// avoided is until when an instance is not asked, for one server or, with an empty
	// one, for all.
	avoided map[avoidance]time.Time
	// refusedAt is when an instance last refused an attempt.
	refusedAt map[string]time.Time
	// regions has the regions of instances that accepted calls with homes.
	regions map[string]knownRegion
}

// knownRegion is the region of an instance, as it said itself; empty if it didn't.
type knownRegion struct {
	name  string
	until time.Time
}

type avoidance struct {
	relay  string
	server string
}

// Wanted reports whether other instances to send through are to be listed.
func (c *Client) Wanted() bool {
	if len(c.Board.BrokenPaths()) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock().Sub(c.listedAt) >= relayListAge
}

// Relaying reports whether this instance sends attempts of others.
func (c *Client) Relaying() bool { return !c.Server.Stopping() }

// SetRelays replaces the instances to send through.
func (c *Client) SetRelays(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known, c.listedAt = addresses, c.Clock()
	maps.DeleteFunc(c.refusedAt, func(relay string, _ time.Time) bool { return !slices.Contains(addresses, relay) })
}

// Send sends a call through another instance. An error that wraps
// pomelospring.ErrNotSent guarantees that nothing reached the server.
func (c *Client) Send(ctx context.Context, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	relays := c.choose(dispatch.Server.ID, call.Homes)
	if len(relays) == 0 {
		return nil, errNoRelay
	}
	unreachable := 0
	for _, relay := range relays {
		answer, err = c.sendThrough(ctx, relay, call, dispatch)
		c.logSent(relay, call, dispatch, err)
		if err == nil || !errors.Is(err, pomelospring.ErrNotSent) || ctx.Err() != nil {
			return answer, err
		}
		if errors.Is(err, errUnreachable) {
			unreachable++
		}
	}
	if unreachable == len(relays) && c.isListed() {
		c.Board.RecordUnreachableElsewhere(dispatch.Server.ID, c.Clock())
	}
	return nil, err
}

func (c *Client) logSent(relay string, call *pomelospring.Call, dispatch pomelospring.Dispatch, err error) {
	fields := log.Fields{
		"request": call.ID,
		"server":  dispatch.Server.ID,
		"through": relay,
	}
	if err != nil {
		fields["error"] = err.Error()
		fields["sent"] = !errors.Is(err, pomelospring.ErrNotSent)
	}
	events.Log(c.Logger, events.CallSentThrough, fields)
}

// choose returns the instances to ask: those that refused no attempt, or did so longest
// ago, first, and of these those with the fewest attempts under way.
func (c *Client) choose(server string, homes pomelospring.Homes) (relays []string) {
	leaders := c.Leaders()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	relays = slices.Clone(c.known)
	if len(relays) == 0 {
		relays = leaders
	}
	relays = slices.DeleteFunc(relays, func(relay string) bool {
		region, known := c.regions[relay]
		if known && now.Before(region.until) && !homes.Allow(region.name) {
			return true
		}
		return relay == c.Address || now.Before(c.avoided[avoidance{relay: relay}]) || now.Before(c.avoided[avoidance{relay: relay, server: server}])
	})
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	slices.SortStableFunc(relays, func(x, y string) int {
		return cmp.Or(c.refusedAt[x].Compare(c.refusedAt[y]), c.sending[x]-c.sending[y])
	})
	return relays[:min(len(relays), maxRelaysAsked)]
}

// isListed reports whether instances to send through were listed, so that those asked
// are more than the leaders.
func (c *Client) isListed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known) > 0
}

// avoid does not ask an instance for relayAvoidTime; server is empty for all servers.
func (c *Client) avoid(relay, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoided == nil || len(c.avoided) >= maxAvoided {
		c.avoided = map[avoidance]time.Time{}
	}
	if c.refusedAt == nil {
		c.refusedAt = map[string]time.Time{}
	}
	c.refusedAt[relay] = c.Clock()
	c.avoided[avoidance{
		relay:  relay,
		server: server,
	}] = c.Clock().Add(relayAvoidTime)
}

// count counts an attempt through an instance as under way, or as ended.
func (c *Client) count(relay string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending == nil {
		c.sending = map[string]int{}
	}
	if c.sending[relay] += change; c.sending[relay] == 0 {
		delete(c.sending, relay)
	}
}

// sendThrough sends a call through one instance.
func (c *Client) sendThrough(ctx context.Context, relay string, call *pomelospring.Call, dispatch pomelospring.Dispatch) (answer *pomelospring.BackendAnswer, err error) {
	defer pomelospring.Annotate(&err, "send to %s through %s", dispatch.Server.ID, relay)
	ctx, cancel := context.WithCancel(ctx)
	c.count(relay, 1)
	release := sync.OnceFunc(func() {
		cancel()
		c.count(relay, -1)
	})
	defer func() {
		if err != nil && !errors.Is(err, errOutsideHomes) {
			release()
		}
	}()
	stream, region, err := c.offer(ctx, cancel, relay, dispatch)
	if err != nil {
		return nil, err
	}
	if !c.allows(relay, region, call.Homes) {
		go finish(stream, release)
		return nil, errOutsideHomes
	}
	if err = connection.Check(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", pomelospring.ErrNotSent, err)
	}
	if err = sendCall(stream, callToProto(call, dispatch, c.Clock()), call.Body); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if reply.Failure != nil {
		return nil, c.failure(relay, dispatch.Server, reply.Failure)
	}
	if reply.Head == nil {
		return nil, errors.New("the reply has no head")
	}
	answer = headFromProto(reply.Head, c.Clock())
	answer.Body = &body{
		stream:  stream,
		release: release,
	}
	return answer, nil
}

// offer offers an attempt to an instance, and returns its region once it is accepted. The
// offer says nothing of the call, which must not leave its homes.
func (c *Client) offer(ctx context.Context, cancel context.CancelFunc, relay string, dispatch pomelospring.Dispatch) (stream coordinationpb.DRPCRelay_SendClient, region string, err error) {
	timer := time.AfterFunc(offerTimeout, cancel)
	defer func() {
		if !timer.Stop() && err == nil {
			err = fmt.Errorf("%w: the offer was not accepted in time", pomelospring.ErrNotSent)
		}
	}()
	bound := c.Board.BoundOf(dispatch.Server.ID, c.Clock())
	stream, err = coordinationpb.NewDRPCRelayClient(c.Peers.Conn(ctx, relay)).Send(ctx)
	if err == nil {
		err = stream.Send(&coordinationpb.RelayRequest{
			Offer: &coordinationpb.RelayOffer{
				Instance:   c.Instance,
				Server:     dispatch.Server.ID,
				Started:    dispatch.Server.Started.UnixMilli(),
				LimitKnown: bound.Limited(),
			},
		})
	}
	var reply *coordinationpb.RelayReply
	if err == nil {
		reply, err = stream.Recv()
	}
	if err != nil {
		c.avoid(relay, "")
		return nil, "", fmt.Errorf("%w: %w", pomelospring.ErrNotSent, err)
	}
	if !reply.Accepted {
		return nil, "", c.failure(relay, dispatch.Server, reply.Failure)
	}
	return stream, reply.Region, nil
}

// allows reports whether a call with homes may be sent to an instance in a region, which
// it remembers.
func (c *Client) allows(relay, region string, homes pomelospring.Homes) bool {
	if homes == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.regions == nil || len(c.regions) >= maxAvoided {
		c.regions = map[string]knownRegion{}
	}
	c.regions[relay] = knownRegion{
		name:  region,
		until: c.Clock().Add(regionAge),
	}
	return homes.Allow(region)
}

// failure returns the error for a failure that an instance reported.
func (c *Client) failure(relay string, server pomelospring.FleetServer, failure *coordinationpb.RelayFailure) error {
	c.Notices.Record(server, noticeFromProto(failure.GetNotice(), c.Clock()))
	switch {
	case failure.GetUnreachable() && failure.GetNotSent():
		c.avoid(relay, server.ID)
		return fmt.Errorf("%w: %s", errUnreachable, failure.GetReason())
	case failure.GetNotSent():
		c.avoid(relay, server.ID)
		return fmt.Errorf("%w: %s", pomelospring.ErrNotSent, failure.GetReason())
	}
	return errors.New(failure.GetReason())
}

// sendCall sends a call in parts. Without the last one the callee sends nothing on.
func sendCall(stream coordinationpb.DRPCRelay_SendClient, call *coordinationpb.RelayCall, content []byte) error {
	message := &coordinationpb.RelayRequest{
		Call: call,
	}
	for rest := content; ; {
		message.Last = len(rest) == 0
		err := stream.Send(message)
		if err != nil && !message.Last {
			return fmt.Errorf("%w: %w", pomelospring.ErrNotSent, err)
		}
		if err != nil || message.Last {
			return err
		}
		size := min(len(rest), chunkBytes)
		message = &coordinationpb.RelayRequest{
			Body: rest[:size],
		}
		rest = rest[size:]
	}
}

// body is the body of an answer that another instance passes on. Its end is io.EOF only
// if that instance said that the answer is whole.
type body struct {
	stream  coordinationpb.DRPCRelay_SendClient
	release func()
	rest    []byte
	ended   error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (n int, err error) {
	for len(b.rest) == 0 && b.ended == nil {
		b.receive()
	}
	if len(b.rest) == 0 {
		return 0, b.ended
	}
	n = copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *body) receive() {
	reply, err := b.stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		b.ended = io.ErrUnexpectedEOF
	case err != nil:
		b.ended = err
	case reply.End:
		b.ended = io.EOF
		go finish(b.stream, b.release)
	case reply.Failure != nil:
		b.ended = errors.New(reply.Failure.Reason)
	default:
		b.rest = reply.Body
	}
}

// finish lets a stream that has ended close, so that its connection can be used again.
func finish(stream coordinationpb.DRPCRelay_SendClient, release func()) {
	timer := time.AfterFunc(closeTimeout, release)
	defer timer.Stop()
	_ = stream.CloseSend()
	_, _ = stream.Recv()
	release()
}

// Close implements io.Closer. It ends the attempt unless the answer is whole.
func (b *body) Close() error {
	if !errors.Is(b.ended, io.EOF) {
		b.release()
	}
	return nil
}
