package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/pomelospring/pomelospring"
)

// evaluate forgets old crashes and decides anew which parts are blocked. The lock
// is held.
func (r *Register) evaluate(now time.Time) {
	for server, crash := range r.crashes {
		if now.Sub(crash.SeenAt) > crashLifetime {
			r.forget(server)
		}
	}
	before := r.blocks
	isOver := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(r.triedUntil, isOver)
	maps.DeleteFunc(r.askedUntil, isOver)
	r.blocks = findBlocks(r.crashes, r.proven)
	r.blocking.Store(len(r.blocks) > 0)
	same := slices.EqualFunc(before, r.blocks, func(x, y Block) bool {
		return x.Crashes == y.Crashes && slices.Equal(x.Parts, y.Parts) && maps.Equal(x.Teams, y.Teams)
	})
	if !same && r.OnChange != nil {
		r.OnChange(slices.Clone(r.blocks))
	}
}

// findBlocks returns the parts that explain the crashes: first the one under which
// most workers ended, then the one under which most of the others did, and so on.
// A part that only ran beside it is not in the crashes that remain.
func findBlocks(crashes map[string]*Crash, proven map[string]time.Time) (blocks []Block) {
	unexplained := maps.Clone(crashes)
	for {
		block, found := mostSuspected(unexplained, proven)
		if !found {
			return blocks
		}
		blocks = append(blocks, block)
		maps.DeleteFunc(unexplained, func(_ string, crash *Crash) bool { return suspectedIn(crash, block.Parts[0], proven) })
	}
}

// suspectedIn reports whether a worker may have ended because of a part: it was not
// answered since.
func suspectedIn(crash *Crash, part string, proven map[string]time.Time) bool {
	_, suspected := crash.Suspects[part]
	return suspected && !proven[part].After(crash.At)
}

// mostSuspected returns a block of the part under which most workers ended, if that
// is enough, with the parts that were in the very same crashes.
func mostSuspected(crashes map[string]*Crash, proven map[string]time.Time) (block Block, found bool) {
	if len(crashes) < minCrashes {
		return Block{}, false
	}
	counts := momentCounts(crashes, proven)
	worst := ""
	for part, count := range counts {
		if count >= enough(part, proven) && (count > counts[worst] || count == counts[worst] && part < worst) {
			worst = part
		}
	}
	if worst == "" {
		return Block{}, false
	}
	under := maps.Clone(crashes)
	maps.DeleteFunc(under, func(_ string, crash *Crash) bool { return !suspectedIn(crash, worst, proven) })
	parts := []string{worst}
	for part, count := range counts {
		if part != worst && count == counts[worst] && suspectedInAll(under, part, proven) {
			parts = append(parts, part)
		}
	}
	parts = keepOneRequest(parts, worst)
	return newBlock(parts, counts[worst], under), true
}

// keepOneRequest sorts suspects and leaves out all requests but one, as no call has two:
// worst if it is one. If the wrong one is kept, the next crash is without it.
func keepOneRequest(suspects []string, worst string) []string {
	slices.Sort(suspects)
	kept := ""
	if pomelospring.IsFingerprint(worst) {
		kept = worst
	}
	return slices.DeleteFunc(suspects, func(suspect string) bool {
		if !pomelospring.IsFingerprint(suspect) {
			return false
		}
		if kept == "" {
			kept = suspect
		}
		return suspect != kept
	})
}

// momentCounts returns at how many moments servers ended under each suspect. Servers that
// ended at about the same time count once, as they may have ended together for a reason of
// their own, but for a request that no server ever answered, or that was sent to the later
// one because the earlier one had ended.
func momentCounts(crashes map[string]*Crash, proven map[string]time.Time) map[string]int {
	counts := map[string]int{}
	var at time.Time
	var moment map[string]bool
	for _, crash := range slices.SortedFunc(maps.Values(crashes), func(x, y *Crash) int { return x.At.Compare(y.At) }) {
		if moment == nil || crash.At.Sub(at) >= momentLength {
			at, moment = crash.At, map[string]bool{}
		}
		for part := range crash.Suspects {
			_, answered := proven[part]
			alone := crash.Resent[part] || pomelospring.IsFingerprint(part) && !answered
			if !suspectedIn(crash, part, proven) || moment[part] && !alone {
				continue
			}
			moment[part] = moment[part] || !alone
			counts[part]++
		}
	}
	return counts
}

func suspectedInAll(crashes map[string]*Crash, part string, proven map[string]time.Time) bool {
	for _, crash := range crashes {
		if !suspectedIn(crash, part, proven) {
			return false
		}
	}
	return true
}

// enough returns the number of crashes from which a part is blocked.
func enough(part string, proven map[string]time.Time) int {
	_, answered := proven[part]
	switch {
	case !answered:
		return minCrashes
	case pomelospring.IsFingerprint(part):
		return minCrashesOfProvenRequest
	}
	return minCrashesOfProven
}

// newBlock returns a block of parts under which workers ended at a number of
// moments.
func newBlock(parts []string, count int, crashes map[string]*Crash) Block {
	block := Block{
		Parts:   parts,
		Crashes: count,
		Teams:   map[string]bool{},
	}
	for _, crash := range slices.SortedFunc(maps.Values(crashes), func(x, y *Crash) int { return y.At.Compare(x.At) }) {
		block.Servers = append(block.Servers, crash.Server)
		for _, part := range parts {
			maps.Copy(block.Teams, crash.Suspects[part])
		}
		if crash.At.After(block.LastCrashAt) {
			block.LastCrashAt = crash.At
		}
		if expiresAt := crash.SeenAt.Add(crashLifetime); expiresAt.After(block.ExpiresAt) {
			block.ExpiresAt = expiresAt
		}
	}
	if len(block.Teams) >= minTeams && !slices.ContainsFunc(parts, pomelospring.IsFingerprint) {
		block.Teams = nil
	}
	interval := firstTrialInterval
	for i := minCrashes; i < count && interval < maxTrialInterval; i++ {
		interval *= 2
	}
	block.TrialAt = block.LastCrashAt.Add(min(interval, maxTrialInterval))
	return block
}

// covers reports whether a block is for a call of a team with parts.
func (b *Block) covers(team string, parts []string, now time.Time) bool {
	if !now.Before(b.ExpiresAt) || b.Teams != nil && !b.Teams[team] {
		return false
	}
	for _, part := range b.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
