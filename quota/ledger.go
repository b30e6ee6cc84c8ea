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
	// recentRefused are the tokens that this instance refused, decayed over
	// demandWindow.
	recentRefused float64
	decayedAt     time.Time
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
}

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
			}
			l.accounts[name] = a
		}
		l.refill(a, now)
		a.rate = team.TokensPerSecond
		a.burst = team.Burst
		a.level = min(a.level, a.burst)
	}
}

// Admit charges tokens to a team, or returns when the team may retry.
//
// A bucket above the reserve admits a request of any size, so that large
// requests are not refused more often than small ones with the same reserve.
// While the whole fleet requests more than the bucket holds until the next
// report, requests are admitted in proportion to what is available.
func (l *Ledger) Admit(team string, tokens, reserve float64, now time.Time) (admitted bool, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[team]
	if a == nil {
		return true, time.Time{}
	}
	l.refill(a, now)
	a.own.Asked += tokens
	a.recentOwn += tokens
	if a.rate > 0 {
		available := a.level - min(reserve, maxReserveFraction*a.burst)
		if available <= 0 || available < l.expectedDemand(a, now)*l.random() {
			retryDelay := l.retryDelay(a, reserve, now)
			a.recentRefused += tokens
			return false, now.Add(retryDelay)
		}
	}
	a.charge(tokens)
	return true, time.Time{}
}

// expectedDemand estimates the tokens that the whole fleet will request of the
// team until the next report.
func (l *Ledger) expectedDemand(a *account, now time.Time) float64 {
	leader := l.activeLeader(now)
	if leader == nil || a.recentOthers <= 0 {
		return 0
	}
	span := max(leader.interval, now.Sub(leader.reportedAt))
	return (a.recentOwn + a.recentOthers) / demandWindow.Seconds() * span.Seconds()
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
		spending[name] = a.own
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
	for _, a := range l.accounts {
		l.refill(a, now)
	}
	sameLeader := leader.leaderID == report.Leader
	before := leader.others
	*leader = leaderState{
		leaderID:       report.Leader,
		others:         report.Others,
		reportedAt:     now,
		expiresAt:      now.Add(max(minReportExpiry, reportExpiryIntervals*report.Interval)),
		interval:       report.Interval,
		refillFraction: min(1, float64(report.Instances)/float64(max(1, report.Known))),
		instances:      max(1, report.Instances),
	}
	if l.activeLeader(now) != leader {
		return
	}
	for name, a := range l.accounts {
		if sameLeader {
			a.level -= report.Others[name].Spent - before[name].Spent
			a.recentOthers = max(0, a.recentOthers+report.Others[name].Asked-before[name].Asked)
		}
		a.share = a.computeShare(leader)
	}
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

func (a *account) charge(tokens float64) {
	a.level -= tokens
	a.own.Spent += tokens
}

// refill adds the tokens accrued until now and decays the recent demand.
func (l *Ledger) refill(a *account, now time.Time) {
	if passed := now.Sub(a.refilledAt); passed > 0 {
		refillFraction := l.refillFraction(a, now)
		a.level = min(a.burst*refillFraction, a.level+a.rate*refillFraction*passed.Seconds())
		a.refilledAt = now
	}
	if passed := now.Sub(a.decayedAt); passed > 0 {
		retained := math.Exp(-passed.Seconds() / demandWindow.Seconds())
		a.recentOwn *= retained
		a.recentOthers *= retained
		a.recentRefused *= retained
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

// retryDelay estimates how long the account's level stays below the reserve.
func (l *Ledger) retryDelay(a *account, reserve float64, now time.Time) time.Duration {
	rate := max(minRefillRate, a.rate*l.refillFraction(a, now))
	// Callers that were refused here recently will retry too.
	contention := 1 + a.recentRefused/demandWindow.Seconds()/rate
	retryDelay := time.Duration((min(reserve, maxReserveFraction*a.burst) - a.level) / rate * float64(time.Second))
	retryDelay = time.Duration(float64(max(minRetryDelay, retryDelay)) * contention)
	return min(maxRetryDelay, retryDelay)
}
