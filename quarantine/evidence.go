package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxEvidence bounds the crashes that are retained of one block. More of them would
// only lengthen the time between its trials.
const maxEvidence = 8

// Evidence lists the last crashes that each block in force rests on, by the block's first
// part. They have no suspects but the block's parts.
func (r *Register) Evidence(now time.Time) map[string][]Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := map[string][]Crash{}
	for i := range r.blocks {
		block := &r.blocks[i]
		if !now.Before(block.ExpiresAt) {
			continue
		}
		isOther := func(part string) bool { return !slices.Contains(block.Parts, part) }
		for _, server := range block.Servers[:min(maxEvidence, len(block.Servers))] {
			crash := cloneCrash(r.crashes[server])
			maps.DeleteFunc(crash.Suspects, func(part string, _ map[string]bool) bool { return isOther(part) })
			maps.DeleteFunc(crash.Resent, func(part string, _ bool) bool { return isOther(part) })
			evidence[block.Parts[0]] = append(evidence[block.Parts[0]], crash)
		}
	}
	return evidence
}
