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
	for _, crash := range crashes {
		for part := range crash.Suspects {
			if suspectedIn(crash, part, proven) {
				counts[part]++
			}
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
	return newBlock(parts, under), true
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

func newBlock(parts []string, crashes map[string]*Crash) Block {
	block := Block{
		Parts:   parts,
		Crashes: len(crashes),
		Teams:   map[string]bool{},
	}
	for _, crash := range crashes {
		for _, part := range parts {
			maps.Copy(block.Teams, crash.Suspects[part])
		}
		if until := crash.SeenAt.Add(crashLifetime); until.After(block.Until) {
			block.Until = until
		}
	}
	if len(block.Teams) >= minTeams {
		block.Teams = nil
	}
	return block
}

// covers reports whether a call with parts is to be refused.
func (b *Block) covers(team string, parts []string, now time.Time) bool {
	if !now.Before(b.Until) || b.Teams != nil && !b.Teams[team] {
		return false
	}
	for _, part := range b.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
