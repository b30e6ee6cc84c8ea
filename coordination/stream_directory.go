package coordination

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
)

const (
	// startCopies is how many leaders keep the start of a stream.
	startCopies = 2
	// maxAskedLeaders bounds the leaders that are asked for one start.
	maxAskedLeaders = 4
	// tellTimeout bounds the handover of some starts, and askTimeout the answer to a
	// question for some, for which calls wait.
	tellTimeout = 300 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
	// maxStartsPerCall bounds the starts in one message.
	maxStartsPerCall = 1000
	// maxUntoldStarts bounds the starts that wait for one leader. The store has them too.
	maxUntoldStarts = 10_000
)

// StreamDirectory keeps the starts of streams at the leaders of the failure domains. Which
// ones keep a start follows from its call, so that any instance knows whom to ask.
type StreamDirectory struct {
	// Members has one member for each domain, in the same order on all instances.
	Members []*Member
	Logger  log.Interface

	tellers []*startTeller
	askers  []*startAsker
}

var _ pomelospring.StreamDirectory = (*StreamDirectory)(nil)

// NewStreamDirectory returns a directory at the leaders of the members' domains.
func NewStreamDirectory(members []*Member, logger log.Interface) *StreamDirectory {
	d := &StreamDirectory{
		Members: members,
		Logger:  logger,
	}
	for range members {
		d.tellers = append(d.tellers, &startTeller{
			signal: make(chan struct{}, 1),
		})
		d.askers = append(d.askers, &startAsker{})
	}
	return d
}

// Run hands starts over until the context ends.
func (d *StreamDirectory) Run(ctx context.Context) error {
	var group sync.WaitGroup
	for i := range d.Members {
		group.Go(func() { d.tellLeader(ctx, i) })
	}
	group.Wait()
	return nil
}

// untoldStart is a start that a leader is to be told of.
type untoldStart struct {
	pomelospring.StreamStart
	// redirected is set if another leader could not be told.
	redirected bool
}

// startTeller has the starts that wait for one leader.
type startTeller struct {
	mu      sync.Mutex
	pending []untoldStart
	signal  chan struct{}
}

// add adds a start and reports whether there was room for it.
func (t *startTeller) add(start untoldStart) (added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxUntoldStarts {
		return false
	}
	t.pending = append(t.pending, start)
	select {
	case t.signal <- struct{}{}:
	default:
	}
	return true
}

func (t *startTeller) take() (starts []untoldStart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := min(len(t.pending), maxStartsPerCall)
	starts, t.pending = t.pending[:count:count], t.pending[count:]
	return starts
}

// Tell implements pomelospring.StreamDirectory.
func (d *StreamDirectory) Tell(starts []pomelospring.StreamStart) (untold []pomelospring.StreamStart) {
	for _, start := range starts {
		told := false
		for _, i := range d.keepers(start.Call, startCopies) {
			told = d.tellers[i].add(untoldStart{
				StreamStart: start,
			}) || told
		}
		if !told {
			untold = append(untold, start)
		}
	}
	return untold
}

// keepers lists the leaders on other instances, at most count, that keep the start of a
// call, by the index of their domain.
func (d *StreamDirectory) keepers(call string, count int) (indexes []int) {
	if len(d.Members) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(call) % uint64(len(d.Members)))
	// An instance may lead several domains.
	var addresses []string
	for n := range d.Members {
		i := (first + n) % len(d.Members)
		address := d.Members[i].leaderElsewhere()
		if len(indexes) < count && address != "" && !slices.Contains(addresses, address) {
			indexes = append(indexes, i)
			addresses = append(addresses, address)
		}
	}
	return indexes
}

// leaderElsewhere returns the address of the domain's leader if it is another instance
// and answers, or "".
func (m *Member) leaderElsewhere() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address == m.Address || m.failedExchanges > 0 {
		return ""
	}
	return m.address
}

// tellLeader tells one leader of the starts that wait for it.
func (d *StreamDirectory) tellLeader(ctx context.Context, i int) {
	t, member := d.tellers[i], d.Members[i]
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.signal:
		}
		for starts := t.take(); len(starts) > 0; starts = t.take() {
			if err := member.tellStarts(ctx, starts); err != nil {
				events.Log(d.Logger, events.PeerUnreachable, log.Fields{
					"domain": member.Domain,
					"starts": len(starts),
					"error":  err.Error(),
				})
				d.redirect(starts, i)
			}
		}
	}
}

// redirect tells another leader of starts that one could not be told of, once.
func (d *StreamDirectory) redirect(starts []untoldStart, failed int) {
	lost := 0
	for _, start := range starts {
		keepers := d.keepers(start.Call, startCopies+1)
		last := len(keepers) - 1
		if last >= 0 && keepers[last] == failed {
			last--
		}
		redirected := start.redirected
		start.redirected = true
		if redirected || last < 0 || !d.tellers[keepers[last]].add(start) {
			lost++
		}
	}
	if lost > 0 {
		events.Log(d.Logger, events.StartsNotTold, log.Fields{
			"starts": lost,
			"domain": d.Members[failed].Domain,
		})
	}
}

// tellStarts tells the domain's leader of starts.
func (m *Member) tellStarts(ctx context.Context, starts []untoldStart) error {
	address := m.leaderElsewhere()
	if address == "" {
		return errNoLeader
	}
	request := &coordinationpb.TellStartsRequest{}
	for i := range starts {
		request.Starts = append(request.Starts, startToProto(&starts[i].StreamStart))
	}
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	_, err := m.client(ctx, address).TellStarts(ctx, request)
	return err
}

// Ask implements pomelospring.StreamDirectory.
func (d *StreamDirectory) Ask(ctx context.Context, call string) (answer pomelospring.StartAnswer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepers := d.keepers(call, maxAskedLeaders)
	answers := make(chan pomelospring.StartAnswer, len(keepers))
	for _, i := range keepers {
		go func() { answers <- d.askers[i].ask(ctx, d.Members[i], call) }()
	}
	for range keepers {
		next := <-answers
		if next.Found {
			return next
		}
		answer.Answered = answer.Answered || next.Answered
		answer.Complete = answer.Complete || next.Complete
	}
	return answer
}

// startAsker asks one leader, for all calls that wait in one message.
type startAsker struct {
	mu      sync.Mutex
	waiting map[string][]chan pomelospring.StartAnswer
	asking  bool
}

// ask asks for one start, with those that others ask for meanwhile.
func (a *startAsker) ask(ctx context.Context, member *Member, call string) (answer pomelospring.StartAnswer) {
	reply := make(chan pomelospring.StartAnswer, 1)
	a.mu.Lock()
	if a.waiting == nil {
		a.waiting = map[string][]chan pomelospring.StartAnswer{}
	}
	a.waiting[call] = append(a.waiting[call], reply)
	begin := !a.asking
	a.asking = true
	a.mu.Unlock()
	if begin {
		go a.run(member)
	}
	select {
	case answer = <-reply:
	case <-ctx.Done():
	}
	return answer
}

// run asks for what waits until nothing does.
func (a *startAsker) run(member *Member) {
	for {
		waiting := a.take()
		if len(waiting) == 0 {
			return
		}
		starts, answered, complete := member.findStarts(waiting)
		for call, replies := range waiting {
			start, found := starts[call]
			for _, reply := range replies {
				reply <- pomelospring.StartAnswer{
					Start:    start,
					Found:    found,
					Answered: answered,
					Complete: complete,
				}
			}
		}
	}
}

// take takes the calls that the next message asks for; none end the asking.
func (a *startAsker) take() (waiting map[string][]chan pomelospring.StartAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting = a.waiting
	a.waiting = map[string][]chan pomelospring.StartAnswer{}
	for call, replies := range waiting {
		if len(waiting) <= maxStartsPerCall {
			break
		}
		a.waiting[call] = replies
		delete(waiting, call)
	}
	a.asking = len(waiting) > 0
	return waiting
}

// findStarts asks the domain's leader for the starts that calls made.
func (m *Member) findStarts(calls map[string][]chan pomelospring.StartAnswer) (starts map[string]pomelospring.StreamStart, answered, complete bool) {
	address := m.leaderElsewhere()
	if address == "" {
		return nil, false, false
	}
	request := &coordinationpb.FindStartsRequest{}
	for call := range calls {
		request.Calls = append(request.Calls, call)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).FindStarts(ctx, request)
	if err != nil {
		events.Log(m.Logger, events.PeerUnreachable, log.Fields{
			"domain":  m.Domain,
			"address": address,
			"calls":   len(calls),
			"error":   err.Error(),
		})
		return nil, false, false
	}
	starts = make(map[string]pomelospring.StreamStart, len(reply.Starts))
	for _, start := range startsFromProto(reply.Starts) {
		starts[start.Call] = start
	}
	return starts, true, reply.Complete
}

// TellStarts implements the RPC TellStarts.
func (s *Server) TellStarts(_ context.Context, request *coordinationpb.TellStartsRequest) (reply *coordinationpb.TellStartsReply, err error) {
	s.Starts.Told(startsFromProto(request.Starts))
	return &coordinationpb.TellStartsReply{}, nil
}

// FindStarts implements the RPC FindStarts.
func (s *Server) FindStarts(ctx context.Context, request *coordinationpb.FindStartsRequest) (reply *coordinationpb.FindStartsReply, err error) {
	starts, complete := s.Starts.Lookup(ctx, request.Calls)
	reply = &coordinationpb.FindStartsReply{
		Complete: complete,
	}
	for i := range starts {
		reply.Starts = append(reply.Starts, startToProto(&starts[i]))
	}
	return reply, nil
}

func startToProto(start *pomelospring.StreamStart) *coordinationpb.StreamStart {
	return &coordinationpb.StreamStart{
		Call:          start.Call,
		Service:       start.Service,
		Software:      start.Software,
		Server:        start.Server,
		ServerStarted: start.ServerStarted.UnixMilli(),
		At:            start.At.UnixMilli(),
		Ambiguous:     start.Ambiguous,
	}
}

func startsFromProto(list []*coordinationpb.StreamStart) (starts []pomelospring.StreamStart) {
	for _, start := range list {
		starts = append(starts, pomelospring.StreamStart{
			Call:          start.Call,
			Service:       start.Service,
			Software:      start.Software,
			Server:        start.Server,
			ServerStarted: time.UnixMilli(start.ServerStarted),
			At:            time.UnixMilli(start.At),
			Ambiguous:     start.Ambiguous,
		})
	}
	return starts
}
