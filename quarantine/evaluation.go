package quarantine

import (
	"maps"
	"slices"
	"time"
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
	maps.DeleteFunc(r.triedUntil, func(_ string, until time.Time) bool { return now.After(until) })
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

// suspectedIn reports whether a worker may have ended because of a part: no answer
// has begun on the part since.
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
	counts := map[string]int{}
	for _, moment := range moments(crashes, proven) {
		for part := range moment {
			counts[part]++
		}
	}
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
	slices.Sort(parts)
	return newBlock(parts, counts[worst], under), true
}

// moments returns the suspected parts of the crashes, in the order of time. Crashes
// at about the same time are one entry.
func moments(crashes map[string]*Crash, proven map[string]time.Time) (parts []map[string]bool) {
	var at time.Time
	for _, crash := range slices.SortedFunc(maps.Values(crashes), func(x, y *Crash) int { return x.At.Compare(y.At) }) {
		if len(parts) == 0 || crash.At.Sub(at) >= momentLength {
			at = crash.At
			parts = append(parts, map[string]bool{})
		}
		for part := range crash.Suspects {
			if suspectedIn(crash, part, proven) {
				parts[len(parts)-1][part] = true
			}
		}
	}
	return parts
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
	if _, answered := proven[part]; answered {
		return minCrashesOfProven
	}
	return minCrashes
}

// newBlock returns a block of parts under which workers ended at a number of
// moments.
func newBlock(parts []string, count int, crashes map[string]*Crash) Block {
	block := Block{
		Parts:   parts,
		Crashes: count,
		Teams:   map[string]bool{},
	}
	var last time.Time
	for _, crash := range crashes {
		for _, part := range parts {
			maps.Copy(block.Teams, crash.Suspects[part])
		}
		if crash.At.After(last) {
			last = crash.At
		}
		if expiresAt := crash.SeenAt.Add(crashLifetime); expiresAt.After(block.expiresAt) {
			block.expiresAt = expiresAt
		}
	}
	if len(block.Teams) >= minTeams {
		block.Teams = nil
	}
	interval := firstTrialInterval
	for i := minCrashes; i < count && interval < maxTrialInterval; i++ {
		interval *= 2
	}
	block.TrialAt = last.Add(min(interval, maxTrialInterval))
	return block
}

// covers reports whether a block is for a call of a team with parts.
func (b *Block) covers(team string, parts []string, now time.Time) bool {
	if !now.Before(b.expiresAt) || b.Teams != nil && !b.Teams[team] {
		return false
	}
	for _, part := range b.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
