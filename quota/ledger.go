// Package quota bounds what teams spend over the whole fleet. Every instance
// keeps the same bucket for a team and subtracts its own spending at once and
// that of the others as it hears of it; an instance that hears nothing falls
// back to the part of the rate that it used before.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
)

const (
	// contactIntervals is how many intervals between exchanges the last word of
	// the others' spending counts.
	contactIntervals = 3
	// contactLeast is the least time that it counts: an exchange may take 0.4 s.
	contactLeast = 600 * time.Millisecond
	// shareMemory is the time over which what is asked of a team is weighed.
	shareMemory = 3 * time.Second
	// reservePart bounds the part of a burst that is kept for requests that
	// cost less.
	reservePart = 0.25
	// evenShare is the part of a team's rate that instances share evenly while
	// they hear nothing of each other; the rest goes by what was asked of them.
	evenShare = 0.5
	// firstShare is an instance's part before it has heard of any other: the
	// fleet may be large.
	firstShare = 0.02
	// leastRate keeps the time to come back finite, in tokens a second.
	leastRate = 1
	// retryLeast and retryMost bound how soon a refused caller may come back.
	retryLeast = 100 * time.Millisecond
	retryMost  = 5 * time.Second
)

// Ledger holds the buckets of all teams. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*account
	// sources are leaders that add up all instances' counts, the first one
	// that is in contact counts.
	sources []source
	// chance draws from 0 to 1.
	chance func() float64
}

// source is one leader's word.
type source struct {
	// leader is the start of the leader; its sums begin anew with it.
	leader string
	// others are the sums heard last, by team.
	others map[string]Spending
	// heardUntil is when the word of heardAt stops to count.
	heardAt    time.Time
	heardUntil time.Time
	interval   time.Duration
	// part is how many of the instances known to the leader it has heard of
	// lately; instances is that number.
	part      float64
	instances int
}

// LeaderReport is what a leader says of all instances but the one that hears it.
type LeaderReport struct {
	// Leader is unique to one start of the leader.
	Leader string
	Others map[string]Spending
	// Instances have told their counts lately, of those Known.
	Instances int
	Known     int
	// Interval is the time until the next word.
	Interval time.Duration
}

type account struct {
	rate  float64
	burst float64
	// level is what may be spent at filled; below 0 it is owed.
	level  float64
	filled time.Time
	// own counts since this instance's start.
	own Spending
	// recentOwn and recentOthers weigh what was asked for in shareMemory.
	recentOwn    float64
	recentOthers float64
	// recentRefused weighs what this instance refused in shareMemory.
	recentRefused float64
	decayed       time.Time
	// share is the part of the team's rate that this instance may use while
	// it hears of no others.
	share float64
}

// Spending counts the tokens of one team.
type Spending struct {
	// Spent tokens were charged and not given back.
	Spent float64
	// Asked tokens are those of all requests, the refused ones included.
	Asked float64
}

// NewLedger makes a ledger that hears of a number of leaders; chance draws from
// 0 to 1.
func NewLedger(sources int, chance func() float64) *Ledger {
	return &Ledger{
		accounts: map[string]*account{},
		sources:  make([]source, sources),
		chance:   chance,
	}
}

// Configure takes over the teams' rates. New accounts begin empty, so that a
// restart does not hand out a burst a second time.
func (l *Ledger) Configure(teams map[string]pomelospring.PolicyTeam, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, team := range teams {
		a := l.accounts[name]
		if a == nil {
			a = &account{
				filled:  now,
				decayed: now,
				share:   firstShare,
			}
			l.accounts[name] = a
		}
		l.fill(a, now)
		a.rate = team.TokensPerSecond
		a.burst = team.Burst
		a.level = min(a.level, a.burst)
	}
}

// Admit charges tokens to a team, or says when the team may spend again.
//
// A bucket that is above the reserve admits a request of any size, so that
// large ones are not refused more often than small ones of their kind. While
// the whole fleet asks for more than the bucket holds until the next word of
// the others, requests are admitted in proportion.
func (l *Ledger) Admit(team string, tokens, reserve float64, now time.Time) (admitted bool, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[team]
	if a == nil {
		return true, time.Time{}
	}
	l.fill(a, now)
	a.own.Asked += tokens
	a.recentOwn += tokens
	if a.rate > 0 {
		room := a.level - min(reserve, reservePart*a.burst)
		if room <= 0 || room < l.expected(a, now)*l.chance() {
			wait := l.wait(a, reserve, now)
			a.recentRefused += tokens
			return false, now.Add(wait)
		}
	}
	a.charge(tokens)
	return true, time.Time{}
}

// expected is what the fleet will ask of the team until the next word of the
// others, as far as this instance sees it.
func (l *Ledger) expected(a *account, now time.Time) float64 {
	heard := l.current(now)
	if heard == nil || a.recentOthers <= 0 {
		return 0
	}
	span := max(heard.interval, now.Sub(heard.heardAt))
	return (a.recentOwn + a.recentOthers) / shareMemory.Seconds() * span.Seconds()
}

// current is the word that counts; nil while no leader is in contact.
func (l *Ledger) current(now time.Time) *source {
	for i := range l.sources {
		if now.Before(l.sources[i].heardUntil) {
			return &l.sources[i]
		}
	}
	return nil
}

// Refund gives back what was charged for a request that did not run.
func (l *Ledger) Refund(team string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[team]; a != nil {
		l.fill(a, now)
		a.charge(-tokens)
		a.level = min(a.level, max(a.burst, 0))
	}
}

// Spending gives this instance's counts by team since its start.
func (l *Ledger) Spending() map[string]Spending {
	l.mu.Lock()
	defer l.mu.Unlock()
	spending := make(map[string]Spending, len(l.accounts))
	for name, a := range l.accounts {
		spending[name] = a.own
	}
	return spending
}

// ApplyReport takes in the word of the leader at an index. Only the first leader in
// contact moves the buckets; the others' words are kept to go on from.
func (l *Ledger) ApplyReport(index int, word LeaderReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := &l.sources[index]
	for _, a := range l.accounts {
		l.fill(a, now)
	}
	followed := heard.leader == word.Leader
	before := heard.others
	*heard = source{
		leader:     word.Leader,
		others:     word.Others,
		heardAt:    now,
		heardUntil: now.Add(max(contactLeast, contactIntervals*word.Interval)),
		interval:   word.Interval,
		part:       min(1, float64(word.Instances)/float64(max(1, word.Known))),
		instances:  max(1, word.Instances),
	}
	if l.current(now) != heard {
		return
	}
	for name, a := range l.accounts {
		if followed {
			a.level -= word.Others[name].Spent - before[name].Spent
			a.recentOthers = max(0, a.recentOthers+word.Others[name].Asked-before[name].Asked)
		}
		a.share = a.shareOf(heard)
	}
}

// Level gives what a team may spend here now.
func (l *Ledger) Level(team string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[team]
	if a == nil {
		return 0
	}
	l.fill(a, now)
	return a.level
}

func (a *account) charge(tokens float64) {
	a.level -= tokens
	a.own.Spent += tokens
}

// fill lets the bucket run full until now: at the team's rate while a leader
// hears of all instances, at a part of it while it hears of some, and at this
// instance's share while no leader is in contact.
func (l *Ledger) fill(a *account, now time.Time) {
	if passed := now.Sub(a.filled); passed > 0 {
		part := l.part(a, now)
		a.level = min(a.burst*part, a.level+a.rate*part*passed.Seconds())
		a.filled = now
	}
	if passed := now.Sub(a.decayed); passed > 0 {
		keep := math.Exp(-passed.Seconds() / shareMemory.Seconds())
		a.recentOwn *= keep
		a.recentOthers *= keep
		a.recentRefused *= keep
		a.decayed = now
	}
}

// part is the part of the team's rate that fills the bucket.
func (l *Ledger) part(a *account, now time.Time) float64 {
	if heard := l.current(now); heard != nil {
		return heard.part
	}
	return a.share
}

// shareOf is the part of the team's rate that this instance may use by itself;
// those of all instances sum up to one.
func (a *account) shareOf(heard *source) float64 {
	even := heard.part / float64(heard.instances)
	total := a.recentOwn + a.recentOthers
	if total <= 0 {
		return even
	}
	return evenShare*even + (1-evenShare)*heard.part*a.recentOwn/total
}

// wait is how long the account stays below the reserve.
func (l *Ledger) wait(a *account, reserve float64, now time.Time) time.Duration {
	rate := max(leastRate, a.rate*l.part(a, now))
	// Those that were refused here lately come back too.
	crowd := 1 + a.recentRefused/shareMemory.Seconds()/rate
	wait := time.Duration((min(reserve, reservePart*a.burst) - a.level) / rate * float64(time.Second))
	wait = time.Duration(float64(max(retryLeast, wait)) * crowd)
	return min(retryMost, wait)
}
