package history

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

const (
	// withdrawalBound is the time from the withdrawal of a key to its last use.
	withdrawalBound = 6 * time.Second
	// drainBound is the time from the announcement that a server leaves to the last
	// request that goes there, and listedBound that from its listing as draining.
	drainBound  = 2 * time.Second
	listedBound = 3 * time.Second
	// versionBound is the time from the declaration of a new version of an adapter to
	// the last request that runs on an older one.
	versionBound = 9 * time.Second
	// stableWindow is how long an instance must have been undisturbed before bounds
	// hold for it.
	stableWindow = 3 * time.Second
	// HandoverTime is the least time between orders of two leaders to one worker.
	HandoverTime = 3 * time.Second
	// pauseGrace is the time from a rejection to the begin of the pause it asks for.
	pauseGrace = 500 * time.Millisecond
	// maxPauseRequests is the number of requests that a server may get from one
	// instance in a pause.
	maxPauseRequests = 2
	// blockingCrashes is the number of crashes after which a prompt part must be
	// blocked, blockingCrashesOfRequest that for a request, and maxBlockedRequests the
	// number of requests with it that may still reach servers.
	blockingCrashes          = 5
	blockingCrashesOfRequest = 3
	maxBlockedRequests       = 3
	// A server with a limit may get limitFactor times what it allows in limitWindow,
	// and limitSlack, of instances that passed on its limit limitGrace before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitGrace  = 500 * time.Millisecond
	// A team may use quotaFactor times what its rate gives in quotaWindow and its burst,
	// and quotaSlackTokens.
	quotaWindow      = 8 * time.Second
	quotaFactor      = 1.1
	quotaSlackTokens = 110_000
	// answerBound is the time from a request to the end of its answer. It is longer
	// than the deadline that callers give.
	answerBound = 7 * time.Second
	// recoveryBound is the time to serve again after the last fault.
	recoveryBound = 12 * time.Second
	// StopBound is the time from SIGTERM to the end of a process.
	StopBound = 8 * time.Second
	// levelFactor and the slacks bound resources after the faults.
	levelFactor      = 2
	goroutineSlack   = 100
	descriptorSlack  = 50
	memorySlackBytes = 64 << 20
	// faultTail is how long the effects of a fault of a server last.
	faultTail = time.Second
)

// Violation is a promise that was not kept.
type Violation struct {
	Check string `json:"check"`
	Text  string `json:"text"`
}

// Check finds violations of one promise.
type Check struct {
	Name string
	find func(j *judge) []string
}

// Checks returns all checks.
func Checks() []Check {
	return []Check{
		{Name: "rightAdapter", find: (*judge).wrongAdapters},
		{Name: "rightVersion", find: (*judge).wrongVersions},
		{Name: "rightTeam", find: (*judge).wrongTeams},
		{Name: "delivery", find: (*judge).misdeliveries},
		{Name: "streamsWhole", find: (*judge).cutStreams},
		{Name: "answerLost", find: (*judge).lostAnswers},
		{Name: "answerTime", find: (*judge).lateAnswers},
		{Name: "notRun", find: (*judge).falseRefusals},
		{Name: "atMostOnce", find: (*judge).repetitions},
		{Name: "denied", find: (*judge).denials},
		{Name: "quota", find: (*judge).exceededQuotas},
		{Name: "withdrawnKey", find: (*judge).usedKeys},
		{Name: "returnedKey", find: (*judge).returnedKeys},
		{Name: "leftServer", find: (*judge).usedServers},
		{Name: "pause", find: (*judge).ignoredPauses},
		{Name: "oneLeader", find: (*judge).sharedLeaderships},
		{Name: "limit", find: (*judge).exceededLimits},
		{Name: "crashingPart", find: (*judge).unblockedParts},
		{Name: "plannedStop", find: (*judge).cutStops},
		{Name: "processEnded", find: (*judge).crashes},
		{Name: "recovery", find: (*judge).slowRecoveries},
		{Name: "levels", find: (*judge).raisedLevels},
	}
}

// Judge returns all violations in a history.
func Judge(h *History) []Violation {
	j := newJudge(h)
	var violations []Violation
	for _, check := range Checks() {
		for _, text := range check.find(j) {
			violations = append(violations, Violation{
				Check: check.Name,
				Text:  text,
			})
		}
	}
	return violations
}

// judge is a history with indexes.
type judge struct {
	*History
	requests  map[string]Request
	arrivals  map[string][]Arrival
	withdrawn map[string]time.Time
}

func newJudge(h *History) *judge {
	j := &judge{
		History:   h,
		requests:  map[string]Request{},
		arrivals:  map[string][]Arrival{},
		withdrawn: map[string]time.Time{},
	}
	for _, r := range h.Requests {
		j.requests[r.ID] = r
	}
	for _, a := range h.Arrivals {
		j.arrivals[a.RequestID] = append(j.arrivals[a.RequestID], a)
	}
	for _, w := range h.Withdrawals {
		j.withdrawn[w.Key] = w.At
	}
	return j
}

// isHarmless reports whether a fault must neither cut nor lose an answer.
func isHarmless(kind string) bool {
	return kind == plan.SilenceServer || kind == plan.PauseServer || kind == plan.LeaveServer || kind == plan.LimitServer
}

// disturbed reports whether a target had a harmful fault at some time from begin to
// end.
func (j *judge) disturbed(target string, begin, end time.Time) bool {
	for _, f := range j.Faults {
		if f.Target == target && !isHarmless(f.Kind) && f.Begin.Before(end) && f.End.After(begin) {
			return true
		}
	}
	return false
}

// inTouch reports whether neither an instance nor the store was disturbed from the
// stable window before begin to end.
func (j *judge) inTouch(instance string, begin, end time.Time) bool {
	begin = begin.Add(-stableWindow)
	return !j.disturbed(instance, begin, end) && !j.disturbed(Store, begin, end)
}

// excused reports whether a fault of the request's instance, or of a server that it
// reached, explains an answer that isn't whole.
func (j *judge) excused(r Request) bool {
	if j.disturbed(r.Instance, r.Sent, r.Ended) {
		return true
	}
	return j.serverExcuses(r)
}

func (j *judge) ran(id string) (count int) {
	for _, a := range j.arrivals[id] {
		if a.Ran {
			count++
		}
	}
	return count
}

func (j *judge) wrongAdapters() (texts []string) {
	for _, r := range j.Requests {
		for _, e := range r.Events {
			if e.Adapter != r.Adapter {
				texts = append(texts, fmt.Sprintf("%s for %q was answered by %q", r.ID, r.Adapter, e.Adapter))
			}
		}
	}
	return texts
}

// wrongVersions finds answers from versions that weren't declared, and from older ones
// long after a newer one was.
func (j *judge) wrongVersions() (texts []string) {
	for _, r := range j.Requests {
		if r.Adapter == "" {
			continue
		}
		oldest, newest := j.versionsFor(r)
		for _, e := range r.Events {
			if e.Version < oldest || e.Version > newest || e.Version != r.Events[0].Version {
				texts = append(texts, fmt.Sprintf("%s at %s for %s got version %d, from %d to %d may run", r.ID, r.Instance, r.Adapter, e.Version, oldest, newest))
			}
		}
	}
	return texts
}

// versionsFor returns the versions of its adapter that a request may run on.
func (j *judge) versionsFor(r Request) (oldest, newest int64) {
	oldest, newest = 1, 1
	for _, d := range j.Declarations {
		if d.Adapter != r.Adapter {
			continue
		}
		if d.At.Before(r.Ended) {
			newest = max(newest, d.Version)
		}
		if r.Sent.After(d.At.Add(versionBound)) && j.inTouch(r.Instance, d.At, r.Sent) {
			oldest = max(oldest, d.Version)
		}
	}
	return oldest, newest
}

func (j *judge) wrongTeams() (texts []string) {
	for _, r := range j.Requests {
		for _, e := range r.Events {
			if e.Team != r.Team {
				texts = append(texts, fmt.Sprintf("%s of team %s ran as %q", r.ID, r.Team, e.Team))
			}
		}
	}
	return texts
}

// misdeliveries finds events of other requests and events out of order or doubled.
func (j *judge) misdeliveries() (texts []string) {
	for _, r := range j.Requests {
		for i, e := range r.Events {
			if e.RequestID != r.ID {
				texts = append(texts, fmt.Sprintf("%s got event %d of %s", r.ID, e.Number, e.RequestID))
			}
			if e.Number != i+1 {
				texts = append(texts, fmt.Sprintf("%s got event %d in place of %d", r.ID, e.Number, i+1))
			}
		}
	}
	return texts
}

func (j *judge) cutStreams() (texts []string) {
	for _, r := range j.Requests {
		if r.Status == http.StatusOK && len(r.Events) < r.EventCount && !j.excused(r) {
			texts = append(texts, fmt.Sprintf("%s at %s got %d of %d events: %s", r.ID, r.Instance, len(r.Events), r.EventCount, r.Broken))
		}
	}
	return texts
}

// lostAnswers finds requests whose answer a server completed and the caller didn't
// get, and requests that got no answer though their instance was sound.
func (j *judge) lostAnswers() (texts []string) {
	for _, r := range j.Requests {
		if r.Status == http.StatusOK || r.Unreached || j.excused(r) {
			continue
		}
		for _, a := range j.arrivals[r.ID] {
			if a.Completed {
				texts = append(texts, fmt.Sprintf("%s at %s: %s completed the answer, the caller got %d %s", r.ID, r.Instance, a.Server, r.Status, r.Broken))
			}
		}
	}
	return texts
}

// lateAnswers finds requests that an undisturbed instance left without an end.
func (j *judge) lateAnswers() (texts []string) {
	for _, r := range j.Requests {
		if r.Ended.Sub(r.Sent) > answerBound && !j.disturbed(r.Instance, r.Sent, r.Ended) {
			texts = append(texts, fmt.Sprintf("%s at %s ended after %s with %d %s", r.ID, r.Instance, r.Ended.Sub(r.Sent), r.Status, r.Broken))
		}
	}
	return texts
}

func isNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (j *judge) falseRefusals() (texts []string) {
	for _, r := range j.Requests {
		if isNotRun(r.Status) && j.ran(r.ID) > 0 {
			texts = append(texts, fmt.Sprintf("%s at %s got %d and ran", r.ID, r.Instance, r.Status))
		}
	}
	return texts
}

func (j *judge) repetitions() (texts []string) {
	for _, r := range j.Requests {
		if count := j.ran(r.ID); count > 1 {
			texts = append(texts, fmt.Sprintf("%s at %s ran %d times", r.ID, r.Instance, count))
		}
	}
	return texts
}

// denials finds proper requests that were called improper.
func (j *judge) denials() (texts []string) {
	for _, r := range j.Requests {
		_, withdrawn := j.withdrawn[r.Key]
		switch r.Status {
		case http.StatusUnauthorized, http.StatusForbidden:
			if withdrawn {
				continue
			}
		case http.StatusNotFound, http.StatusBadRequest:
		default:
			continue
		}
		texts = append(texts, fmt.Sprintf("%s at %s got %d", r.ID, r.Instance, r.Status))
	}
	return texts
}

func (j *judge) usedKeys() (texts []string) {
	for _, r := range j.Requests {
		at, withdrawn := j.withdrawn[r.Key]
		if !withdrawn || r.Sent.Before(at.Add(withdrawalBound)) || !j.inTouch(r.Instance, at, r.Sent) {
			continue
		}
		if j.ran(r.ID) > 0 {
			texts = append(texts, fmt.Sprintf("%s at %s ran %s after %s was withdrawn", r.ID, r.Instance, r.Sent.Sub(at), r.Key))
		}
	}
	return texts
}

// returnedKeys finds withdrawn keys that an instance accepted after it had refused them.
func (j *judge) returnedKeys() (texts []string) {
	type keyAt struct{ instance, key string }
	refused := map[keyAt]time.Time{}
	for _, r := range j.Requests {
		use := keyAt{r.Instance, r.Key}
		if at, known := refused[use]; r.Status == http.StatusUnauthorized && (!known || r.Ended.Before(at)) {
			refused[use] = r.Ended
		}
	}
	for _, r := range j.Requests {
		at, known := refused[keyAt{r.Instance, r.Key}]
		if known && r.Status == http.StatusOK && r.Sent.After(at) && !j.ended(r.Instance, at, r.Sent) {
			texts = append(texts, fmt.Sprintf("%s at %s was served %s after %s had been refused", r.ID, r.Instance, r.Sent.Sub(at), r.Key))
		}
	}
	return texts
}

// pair is an instance and a server that it sends requests to.
type pair struct {
	instance string
	server   string
}

// announcements returns when an instance first passed on an answer in which a server
// announced that it leaves.
func (j *judge) announcements() map[pair]time.Time {
	announced := map[pair]time.Time{}
	for _, a := range j.Arrivals {
		r, found := j.requests[a.RequestID]
		if !found || !a.Leaving || !a.Completed || r.Status != http.StatusOK {
			continue
		}
		p := pair{r.Instance, a.Server}
		if at, known := announced[p]; !known || r.Ended.Before(at) {
			announced[p] = r.Ended
		}
	}
	return announced
}

// usedServers finds requests for servers that were known to leave: by an answer that
// the same instance had passed on, or by the server list.
func (j *judge) usedServers() (texts []string) {
	announced := j.announcements()
	listed := map[string]time.Time{}
	for _, d := range j.Departures {
		listed[d.Server] = d.At
	}
	for _, a := range j.Arrivals {
		r, found := j.requests[a.RequestID]
		if !found {
			continue
		}
		at, known := announced[pair{r.Instance, a.Server}]
		if known && r.Sent.After(at.Add(drainBound)) && !j.disturbed(r.Instance, at, r.Sent) {
			texts = append(texts, fmt.Sprintf("%s at %s reached %s, sent %s after its announcement", r.ID, r.Instance, a.Server, r.Sent.Sub(at)))
			continue
		}
		if at, known = listed[a.Server]; known && r.Sent.After(at.Add(listedBound)) && j.inTouch(r.Instance, at, r.Sent) {
			texts = append(texts, fmt.Sprintf("%s at %s reached %s, sent %s after it was listed as draining", r.ID, r.Instance, a.Server, r.Sent.Sub(at)))
		}
	}
	return texts
}

// ignoredPauses looks at each pause once, from the rejection that asked for it first.
func (j *judge) ignoredPauses() (texts []string) {
	arrivals := map[pair][]Arrival{}
	for _, a := range j.Arrivals {
		if r, found := j.requests[a.RequestID]; found {
			p := pair{r.Instance, a.Server}
			arrivals[p] = append(arrivals[p], a)
		}
	}
	for p, all := range arrivals {
		for _, asked := range all {
			if asked.PausedUntil.IsZero() || j.disturbed(p.instance, asked.At, asked.PausedUntil) || j.disturbed(p.server, asked.At, asked.At.Add(faultTail)) {
				continue
			}
			count := 0
			for _, a := range all {
				if a.At.After(asked.At.Add(pauseGrace)) && a.At.Before(asked.PausedUntil) {
					count++
				}
			}
			if count > maxPauseRequests {
				texts = append(texts, fmt.Sprintf("%s sent %d requests to %s in its pause to %s", p.instance, count, p.server, asked.PausedUntil))
				break
			}
		}
	}
	return texts
}

// sharedLeaderships finds workers that got orders from two leaders within the handover
// time. Orders around faults of the worker's connections or of a leader's process may
// have been under way for longer.
func (j *judge) sharedLeaderships() (texts []string) {
	last := map[string]Order{}
	for _, o := range j.Orders {
		former, found := last[o.Server]
		last[o.Server] = o
		if !found || former.Holder == o.Holder || o.At.Sub(former.At) >= HandoverTime {
			continue
		}
		begin := former.At.Add(-faultTail)
		if !j.disturbed(o.Server, begin, o.At) && !j.frozen(former.Holder, begin, o.At) && !j.frozen(o.Holder, begin, o.At) {
			texts = append(texts, fmt.Sprintf("%s got an order of %s %s after one of %s", o.Server, o.Holder, o.At.Sub(former.At), former.Holder))
		}
	}
	return texts
}

// frozen reports whether the process of a leader was frozen at some time.
func (j *judge) frozen(holder string, begin, end time.Time) bool {
	for _, f := range j.Faults {
		if f.Kind == plan.FreezeInstance && f.Target == j.Holders[holder] && f.Begin.Before(end) && f.End.After(begin) {
			return true
		}
	}
	return false
}

// exceededLimits finds servers that got more requests in some window than they had
// named, each once, of instances that had passed on an answer that named it.
func (j *judge) exceededLimits() (texts []string) {
	told := map[pair]time.Time{}
	named := map[string]time.Time{}
	counted := map[string][]time.Time{}
	exceeded := map[string]bool{}
	for _, a := range j.Arrivals {
		r, found := j.requests[a.RequestID]
		if a.Limit == 0 || !found {
			continue
		}
		if _, known := named[a.Server]; !known {
			named[a.Server] = a.At
		}
		p := pair{r.Instance, a.Server}
		at, known := told[p]
		if !known && a.Completed && r.Status == http.StatusOK {
			told[p] = r.Ended
		}
		bound := known && a.At.After(at.Add(limitGrace)) && !j.disturbed(r.Instance, a.At.Add(-stableWindow), a.At)
		if !bound || a.At.Before(named[a.Server].Add(stableWindow)) || j.ended(r.Instance, at, a.At) {
			continue
		}
		times := slices.DeleteFunc(counted[a.Server], func(at time.Time) bool { return a.At.Sub(at) >= limitWindow })
		times = append(times, a.At)
		counted[a.Server] = times
		if allowed := limitFactor*a.Limit*limitWindow.Seconds() + limitSlack; float64(len(times)) > allowed && !exceeded[a.Server] {
			exceeded[a.Server] = true
			texts = append(texts, fmt.Sprintf("%s named a limit of %g a second and got %d requests in %s, the last at %s", a.Server, a.Limit, len(times), limitWindow, a.At))
		}
	}
	return texts
}

// exceededQuotas finds teams whose requests in some window, both sent and begun there,
// have more tokens than their quota allows, each once.
func (j *judge) exceededQuotas() (texts []string) {
	for _, q := range j.Quotas {
		allowed := quotaFactor*(q.TokensPerSecond*quotaWindow.Seconds()+q.Burst) + quotaSlackTokens
		var begun []Arrival
		for _, a := range j.Arrivals {
			if a.Ran && j.requests[a.RequestID].Team == q.Team {
				begun = append(begun, a)
			}
		}
		slices.SortFunc(begun, func(x, y Arrival) int { return x.At.Compare(y.At) })
		most := 0.0
		for n, last := range begun {
			from := last.At.Add(-quotaWindow)
			used := 0.0
			for k := n; k >= 0 && begun[k].At.After(from); k-- {
				if j.requests[begun[k].RequestID].Sent.After(from) {
					used += q.RequestTokens
				}
			}
			most = max(most, used)
		}
		if most > allowed {
			texts = append(texts, fmt.Sprintf("team %s used %.0f tokens in %s, allowed %.0f", q.Team, most, quotaWindow, allowed))
		}
	}
	return texts
}

// ended reports whether a process of an instance ended at some time from begin to end.
func (j *judge) ended(instance string, begin, end time.Time) bool {
	return slices.ContainsFunc(j.Stops, func(s Stop) bool {
		return s.Instance == instance && s.EndedAt.After(begin) && s.SignalledAt.Before(end)
	})
}

func (j *judge) unblockedParts() (texts []string) {
	crashes := map[string][]time.Time{}
	for _, a := range j.Arrivals {
		if a.Crashed && a.Part != "" {
			crashes[a.Part] = append(crashes[a.Part], a.At)
		}
	}
	for part, times := range crashes {
		enough := blockingCrashes
		if strings.HasPrefix(part, CrashingRequestPrefix) {
			enough = blockingCrashesOfRequest
		}
		if len(times) < enough {
			continue
		}
		blockedAt := times[enough-1].Add(stableWindow)
		count := 0
		for _, a := range j.Arrivals {
			r := j.requests[a.RequestID]
			if a.Part == part && a.Ran && a.At.After(blockedAt) && j.inTouch(r.Instance, a.At, a.At) {
				count++
			}
		}
		if count > maxBlockedRequests {
			texts = append(texts, fmt.Sprintf("%d requests with part %s ran after %s", count, part, blockedAt))
		}
	}
	return texts
}

// cutStops finds requests that ran and were cut while their instance stopped as
// planned, and stops that failed or took too long.
func (j *judge) cutStops() (texts []string) {
	for _, s := range j.Stops {
		if !s.Planned {
			continue
		}
		if s.ExitCode != 0 || s.EndedAt.Sub(s.SignalledAt) > StopBound {
			texts = append(texts, fmt.Sprintf("%s ended with %d after %s", s.Instance, s.ExitCode, s.EndedAt.Sub(s.SignalledAt)))
		}
		for _, r := range j.Requests {
			if r.Instance != s.Instance || r.Sent.After(s.EndedAt) || r.Ended.Before(s.SignalledAt) {
				continue
			}
			if isCut(r) && j.ran(r.ID) > 0 && !j.serverExcuses(r) {
				texts = append(texts, fmt.Sprintf("%s was cut by the planned stop of %s: %s", r.ID, s.Instance, r.Broken))
			}
		}
	}
	return texts
}

// isCut reports whether an answer, or the connection before it, broke off.
func isCut(r Request) bool {
	return r.Broken != "" || r.Status == http.StatusOK && len(r.Events) < r.EventCount
}

// serverExcuses reports whether a fault of a server explains an answer that was cut.
func (j *judge) serverExcuses(r Request) bool {
	for _, a := range j.arrivals[r.ID] {
		if a.Crashed || j.disturbed(a.Server, r.Sent.Add(-faultTail), r.Ended) {
			return true
		}
	}
	return false
}

func (j *judge) crashes() (texts []string) {
	for _, s := range j.Stops {
		if !s.Planned && !s.Forced {
			texts = append(texts, fmt.Sprintf("%s ended by itself with %d at %s", s.Instance, s.ExitCode, s.EndedAt))
		}
	}
	return texts
}

func (j *judge) slowRecoveries() (texts []string) {
	for _, r := range j.Recoveries {
		switch {
		case r.End.IsZero():
			texts = append(texts, fmt.Sprintf("%s did not recover", r.Subject))
		case r.End.Sub(r.Begin) > recoveryBound:
			texts = append(texts, fmt.Sprintf("%s recovered after %s", r.Subject, r.End.Sub(r.Begin)))
		}
	}
	return texts
}

func (j *judge) raisedLevels() (texts []string) {
	for _, l := range j.Levels {
		if l.After.Goroutines > levelFactor*l.Before.Goroutines+goroutineSlack ||
			l.After.Descriptors > levelFactor*l.Before.Descriptors+descriptorSlack ||
			l.After.MemoryBytes > levelFactor*l.Before.MemoryBytes+memorySlackBytes {
			texts = append(texts, fmt.Sprintf("%s: %+v before, %+v after", l.Instance, l.Before, l.After))
		}
	}
	return texts
}
