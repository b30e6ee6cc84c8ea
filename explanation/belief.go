package explanation

import (
	"github.com/pomelospring/pomelospring/events"
)

// about names what a belief is about, so that a newer one replaces it; empty
// where it does not matter for the request.
func about(line Line, servers map[string]bool, team string) string {
	switch line.number() {
	case events.Started.Number, events.Stopping.Number, events.Stopped.Number:
		return "process"
	case events.ServersListed.Number, events.ServerBroken.Number:
		if server := line.text("server"); servers[server] {
			return "server " + server
		}
	case events.StoreLost.Number, events.StoreRegained.Number:
		return "store " + line.text("topic")
	case events.DomainCutOff.Number, events.DomainReached.Number:
		return "reach of " + line.text("domain")
	case events.LogUnreachable.Number, events.LeaseLapsed.Number:
		return "log"
	case events.LeaderFound.Number, events.LeaderLost.Number:
		return "leader of " + line.text("domain")
	case events.LeadershipTaken.Number, events.LeadershipLost.Number:
		return "own lead of " + line.text("domain")
	case events.ConfigurationInForce.Number, events.PolicyInForce.Number:
		return "configuration"
	case events.SettingsReloaded.Number:
		return "settings"
	case events.KeysUnverifiable.Number:
		return "keys"
	case events.TeamRateChanged.Number:
		if line.text("team") == team {
			return "rate of " + team
		}
	}
	return ""
}

// beliefsAt are the newest beliefs of a process at the time of a line, each
// about something else.
func (l *Log) beliefsAt(at Line, servers map[string]bool, team string) (beliefs []Line) {
	newest := map[string]Line{}
	for _, line := range sortByTime(l.beliefs[at.Process]) {
		if line.At.After(at.At) {
			break
		}
		if topic := about(line, servers, team); topic != "" {
			newest[topic] = line
		}
	}
	for _, line := range newest {
		beliefs = append(beliefs, line)
	}
	return sortByTime(beliefs)
}

// after finds the first belief of a process with one of some numbers after a line.
func (l *Log) after(at Line, numbers ...int) (found Line, ok bool) {
	for _, line := range sortByTime(l.beliefs[at.Process]) {
		if line.At.Before(at.At) {
			continue
		}
		for _, number := range numbers {
			if line.number() == number {
				return line, true
			}
		}
	}
	return Line{}, false
}
