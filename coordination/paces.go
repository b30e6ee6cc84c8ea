package coordination

import (
	"math"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// usualPercent is the pace of a usual server in messages.
	usualPercent = 100
	// loggedPaceStep is the factor by which the pace of a server changes before it is
	// logged again, and minPaceLogInterval the shortest time between two such lines.
	loggedPaceStep     = 1.3
	minPaceLogInterval = 2 * time.Second
)

// loggedPace is the pace of a server that was logged last.
type loggedPace struct {
	factor float64
	at     time.Time
}

// updatePaces copies the paces of the domain's servers into the placement table. The lock
// is held.
func (l *Leader) updatePaces(now time.Time) {
	l.table.Paces = l.Board.Paces(l.Domain, now)
	for id, factor := range l.table.Paces {
		l.logPace(id, factor, now)
	}
	for id := range l.loggedPaces {
		if _, listed := l.slots[id]; !listed {
			delete(l.loggedPaces, id)
		} else if _, differs := l.table.Paces[id]; !differs {
			l.logPace(id, 1, now)
		}
	}
}

// logPace logs the pace of a server if it changed enough.
func (l *Leader) logPace(server string, factor float64, now time.Time) {
	logged, found := l.loggedPaces[server]
	if !found {
		logged.factor = 1
	}
	if factor < logged.factor*loggedPaceStep && logged.factor < factor*loggedPaceStep || now.Sub(logged.at) < minPaceLogInterval {
		return
	}
	l.loggedPaces[server] = loggedPace{
		factor: factor,
		at:     now,
	}
	events.Log(l.Logger, events.ServerPaceChanged, log.Fields{
		"server": server,
		"before": logged.factor,
		"pace":   factor,
	})
}

// changedPaces lists the paces that changed since a version.
func (l *Leader) changedPaces(since int64) (list []*coordinationpb.ServerPace, version int64) {
	changed, version := l.Board.PaceChanges(l.Domain, since)
	for id, factor := range changed {
		list = append(list, &coordinationpb.ServerPace{
			Server:  id,
			Percent: percent(factor),
		})
	}
	return list, version
}

func percent(factor float64) int32 {
	return int32(math.Round(factor * usualPercent))
}

func pacesToProto(reports []fleet.ServerPace, now time.Time) (list []*coordinationpb.ServerPace) {
	for _, report := range reports {
		list = append(list, &coordinationpb.ServerPace{
			Server:          report.Server,
			Percent:         percent(report.Factor),
			Weight:          int32(report.Weight),
			AgeMilliseconds: now.Sub(report.At).Milliseconds(),
			Said:            report.Said,
		})
	}
	return list
}

func pacesFromProto(list []*coordinationpb.ServerPace, now time.Time) (reports []fleet.ServerPace) {
	for _, sent := range list {
		reports = append(reports, fleet.ServerPace{
			Server: sent.Server,
			PaceObservation: fleet.PaceObservation{
				Factor: float64(sent.Percent) / usualPercent,
				Weight: int(sent.Weight),
				Said:   sent.Said,
				At:     now.Add(-max(0, time.Duration(sent.AgeMilliseconds)*time.Millisecond)),
			},
		})
	}
	return reports
}

func pacesFromReply(reply *coordinationpb.ExchangeReply) (factors map[string]float64) {
	factors = make(map[string]float64, len(reply.Paces))
	for _, sent := range reply.Paces {
		factors[sent.Server] = float64(sent.Percent) / usualPercent
	}
	return factors
}
