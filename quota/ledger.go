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
	// shareMemory is the time over which what is asked of a team is weighed.
	shareMemory = 3 * time.Second
	// reservePart bounds the part of a burst that is kept for requests that
	// cost less.
	reservePart = 0.25
	// leastShare is the part, over the number of instances, that one keeps of
	// a team which it has not served lately.
	leastShare = 0.3
	// retryLeast and retryMost bound how soon a refused caller may come back.
	retryLeast = 100 * time.Millisecond
	retryMost  = 5 * time.Second
)

// Ledger holds the buckets of all teams. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*account
	// heardUntil is when the word of the others, of heardAt, stops to count.
	heardAt    time.Time
	heardUntil time.Time
	interval   time.Duration
	instances  int
	leader     string
	// chance draws from 0 to 1.
	chance func() float64
}

type account struct {
	rate  float64
	burst float64
	// level is what may be spent at filled; below 0 it is owed.
	level  float64
	filled time.Time
	// own counts since this instance's start; others is the last sum heard.
	own    Spending
	others Spending
	// recentOwn and recentOthers weigh what was asked for in shareMemory.
	recentOwn    float64
	recentOthers float64
	decayed      time.Time
}

// Spending counts the tokens of one team.
type Spending struct {
	// Spent tokens were charged and not given back.
	Spent float64
	// Asked tokens are those of all requests, the refused ones included.
	Asked float64
}

// NewLedger makes a ledger for a fleet of at least one instance; chance draws
// from 0 to 1.
func NewLedger(chance func() float64) *Ledger {
	return &Ledger{
		accounts:  map[string]*account{},
		instances: 1,
		chance:    chance,
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
			return false, now.Add(l.wait(a, reserve, now))
		}
	}
	a.charge(tokens)
	return true, time.Time{}
}

// expected is what the fleet will ask of the team until the next word of the
// others, as far as this instance sees it.
func (l *Ledger) expected(a *account, now time.Time) float64 {
	if !now.Before(l.heardUntil) {
		return 0
	}
	if a.recentOthers <= 0 {
		return 0
	}
	span := max(l.interval, now.Sub(l.heardAt))
	return (a.recentOwn + a.recentOthers) / shareMemory.Seconds() * span.Seconds()
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

// Learn takes in the sums of the other instances' counts, as a leader adds
// them up; sums of another leader start anew. interval is the time until the
// next word.
func (l *Ledger) Learn(leader string, others map[string]Spending, instances int, interval time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		l.fill(a, now)
		if leader == l.leader {
			a.level -= others[name].Spent - a.others.Spent
			a.recentOthers = max(0, a.recentOthers+others[name].Asked-a.others.Asked)
		}
		a.others = others[name]
	}
	l.leader = leader
	l.instances = max(1, instances)
	l.interval = interval
	l.heardAt = now
	l.heardUntil = now.Add(contactIntervals * interval)
}

// InContact reports whether the others' spending is known.
func (l *Ledger) InContact(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.heardUntil)
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

// fill lets the bucket run full until now, at the team's whole rate while the
// others' spending is known and at this instance's part of it afterwards.
func (l *Ledger) fill(a *account, now time.Time) {
	if whole := earlier(now, l.heardUntil); whole.After(a.filled) {
		a.level = min(a.burst, a.level+a.rate*whole.Sub(a.filled).Seconds())
		a.filled = whole
	}
	if now.After(a.filled) {
		share := l.share(a)
		a.level = min(a.burst*share, a.level+a.rate*share*now.Sub(a.filled).Seconds())
		a.filled = now
	}
	if passed := now.Sub(a.decayed); passed > 0 {
		keep := math.Exp(-passed.Seconds() / shareMemory.Seconds())
		a.recentOwn *= keep
		a.recentOthers *= keep
		a.decayed = now
	}
}

// share is the part of a team's rate that this instance may use by itself.
func (l *Ledger) share(a *account) float64 {
	least := leastShare / float64(l.instances)
	total := a.recentOwn + a.recentOthers
	if total <= 0 {
		return 1 / float64(l.instances)
	}
	return max(least, (1-leastShare)*a.recentOwn/total+least)
}

// wait is how long the account stays below the reserve.
func (l *Ledger) wait(a *account, reserve float64, now time.Time) time.Duration {
	rate := a.rate
	if !now.Before(l.heardUntil) {
		rate *= l.share(a)
	}
	wait := time.Duration((min(reserve, reservePart*a.burst) - a.level) / rate * float64(time.Second))
	return min(retryMost, max(retryLeast, wait))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
