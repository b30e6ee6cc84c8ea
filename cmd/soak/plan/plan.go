// Package plan draws the faults of a soak from a seed.
package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults.
const (
	KillInstance   = "killInstance"
	StopInstance   = "stopInstance"
	FreezeInstance = "freezeInstance"
	// CutStore cuts one instance off from the store.
	CutStore    = "cutStore"
	StoreDown   = "storeDown"
	StoreSilent = "storeSilent"
	// RestoreStore restores the store from a copy some seconds old.
	RestoreStore = "restoreStore"
	// ResetServer resets the connections of a server; CutServer drops its answers.
	ResetServer   = "resetServer"
	CutServer     = "cutServer"
	SilenceServer = "silenceServer"
	LeaveServer   = "leaveServer"
	PauseServer   = "pauseServer"
	RestartServer = "restartServer"
	// LimitServer lets a server name a limit.
	LimitServer = "limitServer"
	// CrashingPart sends requests with a prompt part that crashes workers, and
	// CrashingRequest sends one request that does, again and again.
	CrashingPart        = "crashingPart"
	CrashingRequest     = "crashingRequest"
	ChangeConfiguration = "changeConfiguration"
	WithdrawKey         = "withdrawKey"
	DeclareVersion      = "declareVersion"
	// SwitchBuild stops an instance and starts it with the other one of two builds. It is
	// part of a release only.
	SwitchBuild = "switchBuild"
)

// Kinds returns all kinds of faults that are drawn.
func Kinds() []string {
	return []string{
		KillInstance, StopInstance, FreezeInstance, CutStore, StoreDown, StoreSilent, RestoreStore, ResetServer, CutServer,
		SilenceServer, LeaveServer, PauseServer, RestartServer, LimitServer, CrashingPart, CrashingRequest, ChangeConfiguration, WithdrawKey, DeclareVersion,
	}
}

const (
	// meanGap is the mean time between two faults.
	meanGap = 800 * time.Millisecond
	// minLength and maxLength bound how long a fault lasts.
	minLength = 300 * time.Millisecond
	maxLength = 4 * time.Second
	// silenceLength is how long a sound server may be silent.
	silenceLength = time.Second
	// crashingLength is how long requests with a part that crashes workers come.
	crashingLength = 9 * time.Second
	// instancesPerDomain and instancesPerWorker are the numbers of further instances for
	// which a larger plan has one more domain, and one more server of each service.
	instancesPerDomain = 40
	instancesPerWorker = 8
	// limitLength is how long a server names a limit: the time until it binds, and a
	// window in which its requests are counted.
	limitLength = 8 * time.Second
)

// Plan is the size of a soak and its faults in the order of their begin.
type Plan struct {
	Seed         uint64 `json:"seed"`
	Domains      int    `json:"domains"`
	Instances    int    `json:"instances"`
	ModelWorkers int    `json:"modelWorkers"`
	OrderServers int    `json:"orderServers"`
	// Steps are the faults in the order of their begin.
	Steps []Step `json:"steps"`
}

// Step is one fault. Its times count from the begin of the faults.
type Step struct {
	Kind string `json:"kind"`
	// Target selects an instance or a server among those there are.
	Target int           `json:"target"`
	Begin  time.Duration `json:"begin"`
	End    time.Duration `json:"end"`
}

// Draw draws a plan of faults that begin within a time.
func Draw(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	p := Plan{
		Seed:         seed,
		Domains:      2,
		Instances:    4,
		ModelWorkers: 6,
		OrderServers: 3,
	}
	// The kinds take turns in a random order, so that a short plan has many kinds.
	var kinds []string
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at > length {
			return p
		}
		if len(kinds) == 0 {
			kinds = Kinds()
			random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		}
		kind := kinds[0]
		kinds = kinds[1:]
		p.Steps = append(p.Steps, Step{
			Kind:   kind,
			Target: random.IntN(1 << 16),
			Begin:  at,
			End:    at + drawLength(random, kind),
		})
	}
}

// Resize gives the plan another number of instances, and domains and servers in
// proportion to those of a drawn one. The faults stay.
func (p *Plan) Resize(instances int) {
	p.Domains += (instances - p.Instances) / instancesPerDomain
	p.ModelWorkers += (instances - p.Instances) / instancesPerWorker
	p.OrderServers += (instances - p.Instances) / instancesPerWorker
	p.Instances = instances
}

// AddRelease replaces the build of all instances one after the other, and then back again.
// The faults stay.
func (p *Plan) AddRelease(length time.Duration) {
	gap := length / time.Duration(2*p.Instances)
	for n := range 2 * p.Instances {
		begin := time.Duration(n) * gap
		p.Steps = append(p.Steps, Step{
			Kind:   SwitchBuild,
			Target: n % p.Instances,
			Begin:  begin,
			End:    begin,
		})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
}

func drawLength(random *rand.Rand, kind string) time.Duration {
	length := minLength + time.Duration(random.Int64N(int64(maxLength-minLength)))
	switch kind {
	case SilenceServer:
		return silenceLength
	case CrashingPart, CrashingRequest:
		return crashingLength
	case LimitServer:
		return limitLength
	}
	return length
}
