package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// paceWindow is how old observations of a server's pace may be if there are more than
	// minPaceObservations, and maxPaceAge if there are not. A server that is slow for half a
	// second is a minority in the window; one that stays slow is the majority within it.
	paceWindow          = 2400 * time.Millisecond
	minPaceObservations = 5
	maxPaceAge          = 10 * time.Second
	// maxPaceObservations bounds the observations kept for a server, and maxPaceWeight the
	// weight of one that is reported.
	maxPaceObservations = 32
	maxPaceWeight       = 8
	// saidQuantile and measuredQuantile are where among the observations the pace is. Times
	// of answers are longer behind queues that other instances caused, and never shorter, so
	// that the shorter ones tell more.
	saidQuantile     = 0.5
	measuredQuantile = 0.1
	// paceHalfLife is the time in which a pace without observations returns halfway to 1.
	paceHalfLife = 10 * time.Second
	// minPace and maxPace bound what is learned.
	minPace = 0.1
	maxPace = 10.0
	// paceTrust is how long what a server says of its pace replaces what is measured.
	paceTrust = 5 * time.Second
	// minMeasuredPace is the factor from which a measured pace counts as different from
	// usual: times of answers show other things too.
	minMeasuredPace = 2
	// minSaidAnswers and minMeasuredAnswers are the numbers of answers from which a pace
	// is known.
	minSaidAnswers     = 3
	minMeasuredAnswers = 6
	// PaceStep is the factor by which a pace changes before others are told.
	PaceStep = 1.15
	// sharedPaceLifetime is how long a leader's paces hold after its last reply.
	sharedPaceLifetime = 5 * time.Second
	// toldRetention is how long it is remembered that a pace is usual again: longer than
	// sharedPaceLifetime, after which an instance asks for all.
	toldRetention = time.Minute
)

// PaceObservation is the time that work took on a server, relative to usual.
type PaceObservation struct {
	Factor float64
	// Weight is the number of answers that it stands for.
	Weight int
	// Said is set if the server said so, and not set if it follows from answers' times.
	Said bool
	At   time.Time
}

// ServerPace is an observation of a server, or what is known of it.
type ServerPace struct {
	Server string
	PaceObservation
}

// Paces learns how long work takes on servers relative to usual: 1 for an unknown server.
// It is not safe for concurrent use.
type Paces struct {
	servers map[string]*pace
	// unreported are the servers with observations since the last report.
	unreported map[string]bool
	// version increases with each change of a pace by PaceStep, and told maps a server to
	// what was told of it at which version.
	version int64
	told    map[string]toldPace
}

// pace is what is known of one server.
type pace struct {
	observations []PaceObservation
	// known is the pace as of the last observation, at knownAt, and saidAt when the server
	// last said its pace.
	known   float64
	knownAt time.Time
	saidAt  time.Time
	// unreported are this instance's observations since the last report.
	unreported []PaceObservation
}

// toldPace is a pace that others were told at a version.
type toldPace struct {
	factor  float64
	version int64
	at      time.Time
}

// NewPaces returns paces of servers of which nothing is known.
func NewPaces() *Paces {
	return &Paces{
		servers:    map[string]*pace{},
		unreported: map[string]bool{},
		told:       map[string]toldPace{},
		version:    1,
	}
}

// Observe takes in an observation of this instance.
func (p *Paces) Observe(server string, observation PaceObservation) {
	if observation.Factor <= 0 || math.IsNaN(observation.Factor) {
		return
	}
	known := p.server(server)
	known.add(observation)
	p.unreported[server] = true
	known.unreported = append(known.unreported, observation)
	if extra := len(known.unreported) - maxPaceWeight; extra > 0 {
		known.unreported = slices.Delete(known.unreported, 0, extra)
	}
}

// Merge takes in an observation that another instance reports.
func (p *Paces) Merge(observation ServerPace, now time.Time) {
	if observation.Factor > 0 && now.Sub(observation.At) < maxPaceAge {
		p.server(observation.Server).add(observation.PaceObservation)
	}
}

func (p *Paces) server(id string) *pace {
	known := p.servers[id]
	if known == nil {
		known = &pace{
			known: 1,
		}
		p.servers[id] = known
	}
	return known
}

// Of returns the pace of a server.
func (p *Paces) Of(server string, now time.Time) (factor float64) {
	known := p.servers[server]
	if known == nil {
		return 1
	}
	return known.at(now)
}

// Says reports whether a server lately said its pace.
func (p *Paces) Says(server string, now time.Time) bool {
	known := p.servers[server]
	return known != nil && now.Sub(known.saidAt) < paceTrust
}

// Forget drops what is known of a server. Others are told by the next Update, as they may
// have heard of its pace after they forgot it.
func (p *Paces) Forget(server string) {
	delete(p.servers, server)
	delete(p.unreported, server)
}

// TakeReport returns this instance's observations of a server since the last report as
// one, and whether there are any.
func (p *Paces) TakeReport(server string) (report ServerPace, found bool) {
	known := p.servers[server]
	delete(p.unreported, server)
	if known == nil || len(known.unreported) == 0 {
		return ServerPace{}, false
	}
	report = ServerPace{
		Server:          server,
		PaceObservation: summarize(known.unreported),
	}
	known.unreported = nil
	return report, true
}

// Update notes the paces that changed by PaceStep since the last time, for Changes, and
// drops servers of which nothing is known any longer.
func (p *Paces) Update(now time.Time) {
	for id, known := range p.servers {
		factor := known.at(now)
		if now.Sub(known.knownAt) > maxPaceAge && !differ(factor, 1) {
			delete(p.servers, id)
			factor = 1
		}
		p.tell(id, factor, now)
	}
	for id, told := range p.told {
		if p.servers[id] != nil {
			continue
		}
		p.tell(id, 1, now)
		if told.factor == 1 && now.Sub(told.at) > toldRetention {
			delete(p.told, id)
		}
	}
}

// tell notes a pace for Changes if it differs from what was told before.
func (p *Paces) tell(server string, factor float64, now time.Time) {
	if !differ(factor, p.toldOf(server)) {
		return
	}
	p.version++
	p.told[server] = toldPace{
		factor:  factor,
		version: p.version,
		at:      now,
	}
}

func (p *Paces) toldOf(server string) float64 {
	if told, found := p.told[server]; found {
		return told.factor
	}
	return 1
}

// Changes lists the paces that changed after a version, or all that differ from usual for 0,
// and returns the current one.
func (p *Paces) Changes(since int64) (changed map[string]float64, version int64) {
	changed = map[string]float64{}
	if since == p.version {
		return changed, p.version
	}
	for id, told := range p.told {
		if told.version > since && (since > 0 || told.factor != 1) {
			changed[id] = told.factor
		}
	}
	return changed, p.version
}

// add takes in an observation and updates the pace.
func (p *pace) add(observation PaceObservation) {
	observation.Factor = min(maxPace, max(minPace, observation.Factor))
	observation.Weight = min(maxPaceWeight, max(1, observation.Weight))
	p.observations = append(p.observations, observation)
	if observation.At.After(p.knownAt) {
		p.knownAt = observation.At
	}
	if len(p.observations) > maxPaceObservations && p.knownAt.Sub(p.observations[0].At) <= paceWindow {
		p.observations = thin(p.observations)
	}
	if extra := len(p.observations) - maxPaceObservations; extra > 0 {
		p.observations = slices.Delete(p.observations, 0, extra)
	}
	if observation.Said && observation.At.After(p.saidAt) {
		p.saidAt = observation.At
	}
	p.known = p.current()
}

// thin has one of two successive observations of a kind stand for both, those two that stand
// for the fewest, so that many observations still span paceWindow.
func thin(observations []PaceObservation) []PaceObservation {
	lightest, least := 0, math.MaxInt
	for i, next := range observations[1:] {
		if weight := observations[i].Weight + next.Weight; next.Said == observations[i].Said && weight < least {
			lightest, least = i, weight
		}
	}
	if least == math.MaxInt {
		return observations
	}
	observations[lightest+1].Weight = least
	return slices.Delete(observations, lightest, lightest+1)
}

// at returns the pace at a time: without observations it returns to 1.
func (p *pace) at(now time.Time) float64 {
	idle := now.Sub(p.knownAt) - paceWindow
	if p.known == 1 || idle <= 0 {
		return p.known
	}
	return math.Pow(p.known, math.Exp2(-idle.Seconds()/paceHalfLife.Seconds()))
}

// current returns the pace by the observations that count at knownAt.
func (p *pace) current() float64 {
	said := p.knownAt.Sub(p.saidAt) < paceTrust
	var counted []PaceObservation
	weight := 0
	for _, observation := range slices.Backward(p.observations) {
		age := p.knownAt.Sub(observation.At)
		if observation.Said != said || age > maxPaceAge || age > paceWindow && len(counted) >= minPaceObservations {
			continue
		}
		counted = append(counted, observation)
		weight += observation.Weight
	}
	if said && weight < minSaidAnswers || !said && weight < minMeasuredAnswers {
		return 1
	}
	factor := summarize(counted).Factor
	if !said && factor < minMeasuredPace && factor > 1/minMeasuredPace {
		return 1
	}
	return factor
}

// summarize returns one observation for several: their weighted quantile, as of the latest.
// What a server says replaces what is measured.
func summarize(observations []PaceObservation) (summary PaceObservation) {
	sorted := slices.Clone(observations)
	for _, observation := range sorted {
		summary.Said = summary.Said || observation.Said
		if observation.At.After(summary.At) {
			summary.At = observation.At
		}
	}
	sorted = slices.DeleteFunc(sorted, func(o PaceObservation) bool { return o.Said != summary.Said })
	slices.SortFunc(sorted, func(x, y PaceObservation) int { return cmp.Compare(x.Factor, y.Factor) })
	for _, observation := range sorted {
		summary.Weight += observation.Weight
	}
	quantile := measuredQuantile
	if summary.Said {
		quantile = saidQuantile
	}
	below := 0
	for _, observation := range sorted {
		if below += observation.Weight; float64(below) >= quantile*float64(summary.Weight) {
			summary.Factor = observation.Factor
			break
		}
	}
	return summary
}

// differ reports whether two paces differ by PaceStep.
func differ(x, y float64) bool {
	return x > y*PaceStep || y > x*PaceStep
}
