package explanation

import (
	"github.com/pomelospring/pomelospring/events"
)

// subjectOf returns what a state event reports on; a later event on the same
// subject replaces an earlier one. It is empty if the event does not matter for
// a request of this team that was sent to these servers.
func subjectOf(line Line, servers map[string]bool, team string) string {
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
		return "reachability of " + line.text("domain")
	case events.LogUnreachable.Number, events.LeaseLapsed.Number:
		return "log"
	case events.LeaderFound.Number, events.LeaderLost.Number:
		return "leader of " + line.text("domain")
	case events.LeadershipTaken.Number, events.LeadershipLost.Number:
		return "own leadership of " + line.text("domain")
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

// stateAt returns what a process knew when it wrote a line: the latest state
// event on each subject that matters for the request.
func (l *Log) stateAt(at Line, servers map[string]bool, team string) (stateEvents []Line) {
	latest := map[string]Line{}
	for _, line := range sortByTime(l.stateEvents[at.Process]) {
		if line.At.After(at.At) {
			break
		}
		if subject := subjectOf(line, servers, team); subject != "" {
			latest[subject] = line
		}
	}
	for _, line := range latest {
		stateEvents = append(stateEvents, line)
	}
	return sortByTime(stateEvents)
}

// firstStateEventAfter finds the first state event with one of the numbers that
// the process of a line wrote at or after that line.
func (l *Log) firstStateEventAfter(from Line, numbers ...int) (found Line, ok bool) {
	for _, line := range sortByTime(l.stateEvents[from.Process]) {
		if line.At.Before(from.At) {
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
