// Package quota limits what teams spend over the whole fleet. Every instance
// keeps a token bucket for each team, from which it subtracts its own spending
// at once and that of the other instances as leaders report it. An instance
// without a current report falls back to its last known share of the rate.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// reportExpiryIntervals is how many exchange intervals a leader's report
	// stays valid.
	reportExpiryIntervals = 3
	// minReportExpiry is the least validity of a report: an exchange may take
	// 0.4 s.
	minReportExpiry = 600 * time.Millisecond
	// demandWindow is the time constant with which recent demand decays.
	demandWindow = 3 * time.Second
	// maxReserveFraction limits the fraction of a burst that is reserved for
	// requests that cost less.
	maxReserveFraction = 0.25
	// evenShareFraction is the fraction of a team's rate that the instances
	// divide evenly for use without a current report; they divide the rest in
	// proportion to their recent demand.
	evenShareFraction = 0.5
	// initialShare is an instance's share of a rate before the first report. It
	// is small, as the fleet may be large.
	initialShare = 0.02
	// rankWindow is the time constant with which the demand by rank decays; at least
	// rankWindowIntervals exchange intervals.
	rankWindow          = time.Second
	rankWindowIntervals = 3
	// A team is contended while it asks for more than contendedFraction of its rate, or
	// while its level is below contendedLevel of its burst.
	contendedFraction = 0.7
	contendedLevel    = 0.5
	// Ranks count while the level is below rankedLevel of the burst.
	rankedLevel = 0.75
	// urgentFraction is the fraction of a rate up to which the first ranks are always
	// admitted, and urgentReserve the fraction of the burst that is kept for them.
	// They may go into debt by as much.
	urgentFraction = 0.5
	urgentReserve  = 0.1
	// levelTime is the time in which a team's level is brought to its aim, and
	// maxLevelAim the highest aim as a fraction of the burst.
	levelTime   = 500 * time.Millisecond
	maxLevelAim = 0.5
	// overdraftFraction is the fraction of a burst that the instances together may
	// overdraw before they know of each other.
	overdraftFraction = 0.5
	// returnIntervals is for how many exchange intervals after the return of instances
	// their spending meanwhile is expected, and maxWithheldTime the longest time of their
	// refill that is kept for it.
	returnIntervals = 3
	maxWithheldTime = 20 * time.Second
	// minRefillRate keeps the retry delay finite, in tokens per second.
	minRefillRate = 1
	// minRetryDelay and maxRetryDelay bound the time after which a refused
	// caller is told to retry.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Ledger holds the token buckets of all teams. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*account
	// leaders holds the last report of each leader that adds up the spending of
	// all instances. The first one with a current report is the active leader.
	leaders []leaderState
	// random returns a number in [0, 1).
	random func() float64
}

// leaderState is the last report of one leader.
type leaderState struct {
	// leaderID is unique to one term of the leader, whose totals start
	// at zero.
	leaderID string
	// others is the reported spending of the other instances by team.
	others map[string]Spending
	// expiresAt is when the report received at reportedAt expires.
	reportedAt time.Time
	expiresAt  time.Time
	interval   time.Duration
	// refillFraction is the fraction of the instances known to the leader that
	// reported to it recently, and instances is the number of those that did.
	refillFraction float64
	instances      int
	grants         bool
}

// LeaderReport is a leader's report to one instance about the spending of all
// others.
type LeaderReport struct {
	// Leader is unique to one term of the leader.
	Leader string
	Others map[string]Spending
	// Instances is the number of instances that reported their spending recently,
	// out of Known.
	Instances int
	Known     int
	// Interval is the time until the next report.
	Interval time.Duration
	// Grants says that the leader decides on what is more than an instance's part.
	Grants bool
}

type account struct {
	rate  float64
	burst float64
	// level is the number of tokens available at refilledAt; negative when in
	// debt.
	level      float64
	refilledAt time.Time
	// own is this instance's spending since its start.
	own Spending
	// recentOwn and recentOthers are the tokens requested here and at the other
	// instances, decayed over demandWindow.
	recentOwn    float64
	recentOthers float64
	// ownRanks and otherRanks are the tokens requested here and at the other instances by
	// rank, and allOthers those of all ranks there, decayed over the rank window. Other
	// instances report ranks only while the team is contended.
	ownRanks   map[int]float64
	otherRanks map[int]float64
	allOthers  float64
	decayedAt  time.Time
	// reported is set once a leader has reported on the team. withheld is the refill that
	// was left since to instances that did not report, and returned what covers the
	// spending of those that report again, until returnedUntil.
	reported      bool
	withheld      float64
	returned      float64
	returnedUntil time.Time
	// unasked are the tokens charged here since the last report without asking the leader,
	// and unaskedUrgent those of urgent requests among them.
	unasked       float64
	unaskedUrgent float64
	// share is the fraction of the team's rate that this instance may use while
	// no leader's report is current.
	share float64
}

// Spending counts the tokens of one team.
type Spending struct {
	// Spent are the tokens charged less those refunded.
	Spent float64
	// Asked are the tokens of all requests, including refused ones.
	Asked float64
	// ByRank are the tokens asked by rank, counted while the team is contended.
	ByRank map[int]float64
}

// Request is a call that asks for tokens of its team.
type Request struct {
	Team   string
	Tokens float64
	// UsualTokens is what calls of the same kind usually cost.
	UsualTokens float64
	// Priority is that of the call in its service; negative where there is none.
	Priority int
	// Call is the same for a call and its repeats.
	Call string
}

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// AskLeader says that the leader whose index is Leader has to decide.
	AskLeader bool
	Leader    int
	// RetryAt is when a refused caller may retry, and Reason why it was refused.
	RetryAt time.Time
	Reason  string
}

// Reasons of refusals.
const (
	// ReasonEmpty is given if the team has no tokens left.
	ReasonEmpty = "no tokens left"
	// ReasonRank is given if the team's tokens go to its other calls.
	ReasonRank = "tokens are for other calls"
	// ReasonUnanswered is given if the leader didn't answer, and this instance may not
	// give out the tokens by itself.
	ReasonUnanswered = "the leader did not answer"
)

// NewLedger returns a ledger that receives reports from a number of leaders;
// random returns a number in [0, 1).
func NewLedger(leaders int, random func() float64) *Ledger {
	return &Ledger{
		accounts: map[string]*account{},
		leaders:  make([]leaderState, leaders),
		random:   random,
	}
}

// Configure sets the teams' rates. New accounts start empty, so that a restart
// does not grant the burst a second time.
func (l *Ledger) Configure(teams map[string]pomelospring.PolicyTeam, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, team := range teams {
		a := l.accounts[name]
		if a == nil {
			a = &account{
				refilledAt: now,
				decayedAt:  now,
				share:      initialShare,
				ownRanks:   map[int]float64{},
				otherRanks: map[int]float64{},
				own: Spending{
					ByRank: map[int]float64{},
				},
			}
			l.accounts[name] = a
		}
		l.refill(a, now)
		a.rate = team.TokensPerSecond
		a.burst = team.Burst
		a.level = min(a.level, a.burst)
	}
}

// Admit charges the tokens of a request to its team, or refuses it, or says that the
// leader has to decide.
//
// A bucket above the usual cost admits a request of any size, so that large requests
// are not refused more often than small ones of the same kind.
func (l *Ledger) Admit(request Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[request.Team]
	if a == nil {
		return Decision{
			Admitted: true,
		}
	}
	l.refill(a, now)
	decision, urgent := l.decide(a, request, now)
	l.countDemand(a, request, now)
	// An instance that has just returned knows too little of what is left.
	unsure := decision.Reason == ReasonEmpty && now.Before(a.returnedUntil) && l.grants(now)
	if unsure || decision.Admitted && l.mustAsk(a, request.Tokens, urgent, now) {
		return Decision{
			AskLeader: true,
			Leader:    l.activeIndex(now),
		}
	}
	if !decision.Admitted {
		return decision
	}
	a.unasked += request.Tokens
	if urgent {
		a.unaskedUrgent += request.Tokens
	}
	a.charge(request.Tokens)
	return decision
}

// Grant decides on a request for which another instance asked its leader, with the
// ledger of the leader's instance. It charges nothing.
func (l *Ledger) Grant(request Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[request.Team]
	if a == nil {
		return Decision{
			Admitted: true,
		}
	}
	l.refill(a, now)
	decision, _ := l.decide(a, request, now)
	return decision
}

// Charge charges the tokens of a request that the leader admitted.
func (l *Ledger) Charge(team string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team]; a != nil {
		l.refill(a, now)
		a.charge(tokens)
	}
}

// AdmitUnanswered decides on a request for which the leader was asked without an answer:
// it is admitted with the probability that the level covers what the fleet is expected to
// ask until the next report, or the rest of this instance's part the request.
func (l *Ledger) AdmitUnanswered(request Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[request.Team]
	if a == nil {
		return Decision{
			Admitted: true,
		}
	}
	l.refill(a, now)
	expected := (a.recentOwn + a.recentOthers) / demandWindow.Seconds() * l.reportSpan(now).Seconds()
	draw := l.random()
	if a.level <= draw*expected && request.Tokens*draw >= l.ownPart(a, now)-a.unasked {
		return Decision{
			RetryAt: l.retryAt(a, request, 0, now),
			Reason:  ReasonUnanswered,
		}
	}
	a.unasked += request.Tokens
	a.charge(request.Tokens)
	return Decision{
		Admitted: true,
	}
}

// countDemand counts a request as asked.
func (l *Ledger) countDemand(a *account, request Request, now time.Time) {
	rank := Rank(request.Priority, request.UsualTokens)
	a.own.Asked += request.Tokens
	a.recentOwn += request.Tokens
	a.ownRanks[rank] += request.Tokens
	if l.contended(a, now) {
		a.own.ByRank[rank] += request.Tokens
	}
}

// contended reports whether the team asks for nearly more than its rate.
func (l *Ledger) contended(a *account, now time.Time) bool {
	refillFraction := l.refillFraction(a, now)
	rate := a.rate * refillFraction
	return a.level < contendedLevel*a.burst*refillFraction || (a.recentOwn+a.recentOthers)/demandWindow.Seconds() > contendedFraction*rate
}

// decide decides on a request without charging it, and says whether it is urgent.
func (l *Ledger) decide(a *account, request Request, now time.Time) (decision Decision, urgent bool) {
	if a.rate <= 0 {
		return Decision{
			Admitted: true,
		}, false
	}
	fraction, burst := 1.0, a.burst*l.refillFraction(a, now)
	if a.level < rankedLevel*burst {
		fraction, urgent = l.admittedFraction(a, Rank(request.Priority, request.UsualTokens), now)
	}
	reserve := min(request.UsualTokens, maxReserveFraction*a.burst)
	if urgent {
		reserve = -urgentReserve * burst
	}
	switch {
	case a.level <= reserve:
		decision.Reason = ReasonEmpty
	case fraction < 1 && drawOf(request.Call) >= fraction:
		decision.Reason = ReasonRank
	default:
		decision.Admitted = true
		return decision, urgent
	}
	decision.RetryAt = l.retryAt(a, request, fraction, now)
	return decision, urgent
}

// admittedFraction returns the fraction of the requests of a rank that is admitted, and
// whether the ranks up to it are urgent: always admitted, as they ask for little.
func (l *Ledger) admittedFraction(a *account, rank int, now time.Time) (fraction float64, urgent bool) {
	asked := l.askedByRank(a, now)
	total, upTo := 0.0, 0.0
	for other, tokens := range asked {
		total += tokens
		if other <= rank {
			upTo += tokens
		}
	}
	refillFraction := l.refillFraction(a, now)
	rate, burst := a.rate*refillFraction, a.burst*refillFraction
	if total > rate && upTo <= urgentFraction*rate {
		return 1, true
	}
	span := l.reportSpan(now)
	aim := min(urgentReserve*burst+rate*span.Seconds(), maxLevelAim*burst)
	flow := rate + (a.level-aim)/max(span, levelTime).Seconds()
	fraction, known := pour(flow, asked)[rank]
	if !known {
		return 1, false
	}
	return fraction, false
}

// askedByRank returns what the whole fleet asks of the team, in tokens per second. What
// instances ask without telling the ranks is divided as the rest.
func (l *Ledger) askedByRank(a *account, now time.Time) map[int]float64 {
	asked := make(map[int]float64, len(a.ownRanks))
	known, own := 0.0, 0.0
	for rank, tokens := range a.ownRanks {
		asked[rank] += tokens
		own += tokens
	}
	for rank, tokens := range a.otherRanks {
		asked[rank] += tokens
		known += tokens
	}
	if own+known <= 0 {
		return asked
	}
	scale := max(1, (own+a.allOthers)/(own+known)) / l.rankWindow(now).Seconds()
	for rank := range asked {
		asked[rank] *= scale
	}
	return asked
}

// reportSpan returns the time between reports of the active leader, or since the last one
// if that is longer; 0 without a leader.
func (l *Ledger) reportSpan(now time.Time) time.Duration {
	leader := l.activeLeader(now)
	if leader == nil {
		return 0
	}
	return max(leader.interval, now.Sub(leader.reportedAt))
}

// rankWindow returns the time constant of the demand by rank.
func (l *Ledger) rankWindow(now time.Time) time.Duration {
	if leader := l.activeLeader(now); leader != nil {
		return max(rankWindow, rankWindowIntervals*leader.interval)
	}
	return rankWindow
}

// mustAsk reports whether the leader has to decide on tokens. Urgent requests have a part
// of their own, so that others don't use it up.
func (l *Ledger) mustAsk(a *account, tokens float64, urgent bool, now time.Time) bool {
	if a.rate <= 0 || !l.grants(now) {
		return false
	}
	if urgent {
		return a.unaskedUrgent+tokens > l.part(a, urgentReserve, now)
	}
	return a.unasked+tokens > l.ownPart(a, now)
}

// grants reports whether there is a leader that decides for several instances.
func (l *Ledger) grants(now time.Time) bool {
	leader := l.activeLeader(now)
	return leader != nil && leader.grants && leader.instances > 1
}

// ownPart returns the tokens that this instance may charge between two reports without
// asking the leader.
func (l *Ledger) ownPart(a *account, now time.Time) float64 {
	return l.part(a, overdraftFraction, now)
}

// part returns this instance's even part of the level as of the last report and an overdraft,
// a fraction of the burst.
func (l *Ledger) part(a *account, overdraft float64, now time.Time) float64 {
	instances := 1
	if leader := l.activeLeader(now); leader != nil {
		instances = leader.instances
	}
	return (a.level + a.unasked + overdraft*a.burst) / float64(instances)
}

// activeLeader returns the first leader whose report is current; nil without
// one.
func (l *Ledger) activeLeader(now time.Time) *leaderState {
	for i := range l.leaders {
		if now.Before(l.leaders[i].expiresAt) {
			return &l.leaders[i]
		}
	}
	return nil
}

// ActiveLeader returns the index of the leader whose report is in use; -1 without
// one.
func (l *Ledger) ActiveLeader(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeIndex(now)
}

func (l *Ledger) activeIndex(now time.Time) int {
	active := l.activeLeader(now)
	for i := range l.leaders {
		if &l.leaders[i] == active {
			return i
		}
	}
	return -1
}

// Refund returns the tokens charged for a request that did not run.
func (l *Ledger) Refund(team string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team]; a != nil {
		l.refill(a, now)
		a.charge(-tokens)
		a.level = min(a.level, max(a.burst, 0))
	}
}

// Spending returns this instance's spending by team since its start.
func (l *Ledger) Spending() map[string]Spending {
	l.mu.Lock()
	defer l.mu.Unlock()
	spending := make(map[string]Spending, len(l.accounts))
	for name, a := range l.accounts {
		spending[name] = a.own.plus(Spending{})
	}
	return spending
}

// ApplyReport applies the report of the leader at an index. Only the active
// leader's report changes the buckets; those of the others are stored as the
// base for later reports.
func (l *Ledger) ApplyReport(index int, report LeaderReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := &l.leaders[index]
	cutOff := l.activeLeader(now) == nil
	fractions := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		l.refill(a, now)
		fractions[name] = l.refillFraction(a, now)
	}
	sameLeader := leader.leaderID == report.Leader
	before, reportedAt := leader.others, leader.reportedAt
	silent := !now.Before(leader.expiresAt)
	if report.Others == nil {
		report.Others = map[string]Spending{}
	}
	*leader = leaderState{
		leaderID:       report.Leader,
		others:         report.Others,
		reportedAt:     now,
		expiresAt:      now.Add(max(minReportExpiry, reportExpiryIntervals*report.Interval)),
		interval:       report.Interval,
		refillFraction: min(1, float64(report.Instances)/float64(max(1, report.Known))),
		instances:      max(1, report.Instances),
		grants:         report.Grants,
	}
	if l.activeLeader(now) != leader {
		return
	}
	for name, a := range l.accounts {
		a.recordReturn(fractions[name], leader.refillFraction, now, now.Add(returnIntervals*report.Interval))
		if sameLeader {
			increase := report.Others[name].minus(before[name])
			l.addToBases(index, name, increase)
			if silent && increase.Spent < 0 {
				// Not all instances have reported to the leader again.
				a.returned, a.returnedUntil = -increase.Spent, now.Add(returnIntervals*report.Interval)
				increase = Spending{}
			}
			usual := a.recentOthers / demandWindow.Seconds() * min(report.Interval, now.Sub(reportedAt)).Seconds()
			if cutOff {
				usual = 0
			}
			a.addOthers(a.coverReturned(increase, usual, now))
		}
		a.unasked, a.unaskedUrgent = 0, 0
		a.share = a.computeShare(leader)
	}
}

// ApplySpending applies what the leader at an index knows of one team's spending at the
// other instances, between two reports. It reports whether the leader is the active one.
func (l *Ledger) ApplySpending(index int, leaderID, team string, others Spending, now time.Time) (applied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := &l.leaders[index]
	if l.activeLeader(now) != leader || leader.leaderID != leaderID {
		return false
	}
	if a := l.accounts[team]; a != nil {
		l.refill(a, now)
		increase := others.minus(leader.others[team])
		l.addToBases(index, team, increase)
		a.addOthers(increase)
		leader.others[team] = others
	}
	return true
}

// Level returns the tokens that a team has available on this instance.
func (l *Ledger) Level(team string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[team]
	if a == nil {
		return 0
	}
	l.refill(a, now)
	return a.level
}

// addToBases adds an increase that was applied to what the other leaders reported last, so
// that one which returns does not report it again.
func (l *Ledger) addToBases(index int, team string, increase Spending) {
	for i := range l.leaders {
		if others := l.leaders[i].others; i != index && others != nil {
			others[team] = others[team].plus(increase)
		}
	}
}

// recordReturn keeps the refill that was left to instances which report again.
func (a *account) recordReturn(before, after float64, now, until time.Time) {
	a.reported = true
	if now.After(a.returnedUntil) {
		a.returned = 0
	}
	if after <= before {
		return
	}
	returned := a.withheld * (after - before) / (1 - before)
	a.withheld -= returned
	a.returned += returned
	a.returnedUntil = until
}

// coverReturned takes the part off an increase that instances spent while they did not
// report: what is more than usual between reports, as far as their refill covers it.
func (a *account) coverReturned(increase Spending, usual float64, now time.Time) Spending {
	covered := min(a.returned, increase.Spent-usual)
	if covered <= 0 || now.After(a.returnedUntil) {
		return increase
	}
	a.returned -= covered
	return increase.times(1 - covered/increase.Spent)
}

// addOthers applies an increase of the other instances' spending.
func (a *account) addOthers(increase Spending) {
	a.level -= increase.Spent
	a.recentOthers = max(0, a.recentOthers+increase.Asked)
	a.allOthers = max(0, a.allOthers+increase.Asked)
	for rank, tokens := range increase.ByRank {
		a.otherRanks[rank] = max(0, a.otherRanks[rank]+tokens)
	}
}

func (a *account) charge(tokens float64) {
	a.level -= tokens
	a.own.Spent += tokens
}

// refill adds the tokens accrued until now and decays the recent demand.
func (l *Ledger) refill(a *account, now time.Time) {
	if passed := now.Sub(a.refilledAt); passed > 0 {
		refillFraction := l.refillFraction(a, now)
		a.level = min(a.burst*refillFraction, a.level+a.rate*refillFraction*passed.Seconds())
		if a.reported {
			a.withheld = min(a.withheld+a.rate*(1-refillFraction)*passed.Seconds(), a.rate*maxWithheldTime.Seconds())
		}
		a.refilledAt = now
	}
	if passed := now.Sub(a.decayedAt); passed > 0 {
		retained := math.Exp(-passed.Seconds() / demandWindow.Seconds())
		a.recentOwn *= retained
		a.recentOthers *= retained
		retained = math.Exp(-passed.Seconds() / l.rankWindow(now).Seconds())
		a.allOthers *= retained
		decayRanks(a.ownRanks, retained)
		decayRanks(a.otherRanks, retained)
		a.decayedAt = now
	}
}

// refillFraction returns the fraction of the team's rate that refills the
// bucket: all of it while every known instance reports to the active leader,
// less while only some do, and this instance's share while no leader is active.
func (l *Ledger) refillFraction(a *account, now time.Time) float64 {
	if leader := l.activeLeader(now); leader != nil {
		return leader.refillFraction
	}
	return a.share
}

// computeShare returns the fraction of the team's rate that this instance may
// use by itself. The shares of all instances add up to one.
func (a *account) computeShare(leader *leaderState) float64 {
	even := leader.refillFraction / float64(leader.instances)
	total := a.recentOwn + a.recentOthers
	if total <= 0 {
		return even
	}
	return evenShareFraction*even + (1-evenShareFraction)*leader.refillFraction*a.recentOwn/total
}

// decayRanks decays demand by rank, and forgets what is left of less than a token.
func decayRanks(ranks map[int]float64, retained float64) {
	for rank, tokens := range ranks {
		if ranks[rank] = tokens * retained; ranks[rank] < 1 {
			delete(ranks, rank)
		}
	}
}

// retryAt returns when there is likely to be room for a request of which a fraction was
// admitted: once the debt is paid, and what the fleet was asked for beyond the rate within
// the rank window is worked off. Callers return over as long again, in the order of their
// draws. The smaller the fraction, the longer does it take to see an end.
func (l *Ledger) retryAt(a *account, request Request, fraction float64, now time.Time) time.Time {
	rate := max(minRefillRate, a.rate*l.refillFraction(a, now))
	deficit := min(request.UsualTokens, maxReserveFraction*a.burst) - a.level
	excess := -rate
	for _, tokens := range l.askedByRank(a, now) {
		excess += tokens
	}
	position := max(0, drawOf(request.Call)-fraction) / max(1-fraction, math.SmallestNonzeroFloat64)
	beyond := 1 - fraction + max(0, excess)/rate*(1+position)
	seconds := max(deficit/rate, 0) + beyond*l.rankWindow(now).Seconds()
	retryDelay := time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
	return now.Add(max(minRetryDelay, retryDelay))
}
