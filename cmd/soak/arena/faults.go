package arena

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

const (
	// crashTail is how long a server that crashed is away.
	crashTail = time.Second
	// A server that leaves announces it, is later listed as draining, then no more,
	// and ends.
	drainingAfter = 4500 * time.Millisecond
	removedAfter  = 8500 * time.Millisecond
	endsAfter     = 11 * time.Second
	// restoreOutage is how long the store is away for a restore, and rewriteDelay the
	// time from its return until what the copy lacks is written again.
	restoreOutage = 500 * time.Millisecond
	rewriteDelay  = time.Second
	// crashingInterval is the time between requests of one caller that crash servers.
	crashingInterval = 400 * time.Millisecond
	// killMargin is what a process gets beyond its time to stop.
	killMargin = 3 * time.Second
)

// inject carries out one fault and returns once it is over.
func (a *arena) inject(step plan.Step) {
	length := step.End - step.Begin
	i := a.instances[step.Target%len(a.instances)]
	switch step.Kind {
	case plan.KillInstance, plan.StopInstance, plan.FreezeInstance, plan.SwitchBuild:
		a.disturbProcess(i, step.Kind, length)
	case plan.CutStore:
		i.faults.Lock()
		defer i.faults.Unlock()
		defer a.fault(step.Kind, i.name)()
		i.store.setRefusing(true)
		time.Sleep(length)
		i.store.setRefusing(false)
	case plan.StoreDown, plan.StoreSilent:
		a.storeFaults.Lock()
		defer a.storeFaults.Unlock()
		defer a.fault(step.Kind, history.Store)()
		a.store.SetDown(true, step.Kind == plan.StoreSilent)
		time.Sleep(length)
		a.store.SetDown(false, false)
	case plan.RestoreStore:
		a.restoreStore(length)
	case plan.CrashingPart, plan.CrashingRequest:
		a.sendCrashing(step)
	case plan.ChangeConfiguration:
		a.fault(step.Kind, "configuration")()
		a.operator.change()
	case plan.WithdrawKey:
		a.fault(step.Kind, "configuration")()
		a.operator.withdraw()
	case plan.DeclareVersion:
		a.fault(step.Kind, "configuration")()
		a.operator.declare(fmt.Sprint("a", step.Target%adapterCount))
	default:
		a.disturbServer(step.Kind, step.Target, length)
	}
}

// restoreStore restores the store from a copy of an age. Operator and servers write again
// what the copy lacks.
func (a *arena) restoreStore(age time.Duration) {
	a.storeFaults.Lock()
	defer a.storeFaults.Unlock()
	defer a.fault(plan.RestoreStore, history.Store)()
	copiedAt := time.Now().Add(-age)
	a.store.Rewind(age, restoreOutage)
	time.Sleep(restoreOutage + rewriteDelay)
	a.published.repeat(copiedAt)
}

// fault records a fault once the returned function is called.
func (a *arena) fault(kind, target string) (end func()) {
	begin := time.Now()
	return func() {
		a.recorder.Record(func(h *history.History) {
			h.Faults = append(h.Faults, history.Fault{
				Kind:   kind,
				Target: target,
				Begin:  begin,
				End:    time.Now(),
			})
		})
	}
}

// disturbProcess kills, stops or freezes the process of an instance, and waits until
// it is ready again.
func (a *arena) disturbProcess(i *instance, kind string, length time.Duration) {
	i.faults.Lock()
	defer i.faults.Unlock()
	defer a.fault(kind, i.name)()
	switch kind {
	case plan.FreezeInstance:
		i.signal(syscall.SIGSTOP)
		time.Sleep(length)
		i.signal(syscall.SIGCONT)
		return
	case plan.KillInstance:
		i.signal(syscall.SIGKILL)
	default:
		i.signal(syscall.SIGTERM)
	}
	i.waitEnd(history.StopBound + killMargin)
	if kind == plan.SwitchBuild && i.otherProgram != "" {
		i.program, i.otherProgram = i.otherProgram, i.program
	}
	a.startAgain(i)
}

// startAgain starts the process of an instance and records how long it took to be
// ready.
func (a *arena) startAgain(i *instance) {
	recovery := history.Recovery{
		Subject: i.name + " ready after its start",
		Begin:   time.Now(),
	}
	if err := i.start(); err == nil {
		recovery.End = time.Now()
	} else {
		recovery.Subject = fmt.Sprintf("%s: %v", recovery.Subject, err)
	}
	a.recorder.Record(func(h *history.History) { h.Recoveries = append(h.Recoveries, recovery) })
}

// sendCrashing sends requests that crash servers to all instances.
func (a *arena) sendCrashing(step plan.Step) {
	a.parts.Lock()
	defer a.parts.Unlock()
	name := fmt.Sprintf("%s%d", crashingPartPrefix, step.Begin.Milliseconds())
	if step.Kind == plan.CrashingRequest {
		name = fmt.Sprintf("%s%d", history.CrashingRequestPrefix, step.Begin.Milliseconds())
	}
	defer a.fault(step.Kind, name)()
	until := time.Now().Add(step.End - step.Begin)
	for _, i := range a.instances {
		c := newCaller(name+"-"+i.name, i, &a.recorder)
		next := func() target { return streamTarget(soundKeys[0], fmt.Sprint("a", c.sent%adapterCount)) }
		if step.Kind == plan.CrashingPart {
			c.part = name
		} else {
			c.request = name
			if step.Target%2 == 0 {
				next = func() target { return orderTarget(soundKeys[0]) }
			}
		}
		a.group.Go(func() { crashServers(c, next, until) })
	}
	time.Sleep(time.Until(until))
}

// disturbServer disturbs a backend server that is there and not disturbed.
func (a *arena) disturbServer(kind string, target int, length time.Duration) {
	s := a.takeServer(target)
	if s == nil {
		return
	}
	defer a.releaseServer(s)
	defer a.fault(kind, s.id)()
	switch kind {
	case plan.ResetServer:
		s.proxy.reset()
	case plan.CutServer:
		s.proxy.dropsAnswers.Store(true)
		time.Sleep(length)
		// The connections that lost bytes can't go on.
		s.proxy.reset()
		s.proxy.dropsAnswers.Store(false)
	case plan.SilenceServer:
		s.mu.Lock()
		s.silentUntil = time.Now().Add(length)
		s.mu.Unlock()
		time.Sleep(length)
	case plan.PauseServer:
		s.mu.Lock()
		s.pausedUntil = time.Now().Add(length)
		s.mu.Unlock()
		time.Sleep(length)
	case plan.LimitServer:
		s.nameLimit(float64(1+target%5) / 2)
		time.Sleep(length)
		s.nameLimit(0)
	case plan.RestartServer:
		a.crash(s)()
	case plan.LeaveServer:
		a.leave(s)
	}
}

// leave lets a server leave as planned, while its successor starts.
func (a *arena) leave(s *server) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	a.replace(s)
	time.Sleep(drainingAfter)
	s.list(a.published, "draining")
	a.recorder.Record(func(h *history.History) {
		h.Departures = append(h.Departures, history.Departure{
			Server: s.id,
			At:     time.Now(),
		})
	})
	time.Sleep(removedAfter - drainingAfter)
	a.unlist(s)
	time.Sleep(endsAfter - removedAfter)
	s.end()
}

// crash ends a server unless it has ended. The returned function starts its successor a
// while later.
func (a *arena) crash(s *server) (succeed func()) {
	end := a.fault("serverEnded", s.id)
	if !s.end() {
		return func() {}
	}
	return func() {
		time.Sleep(crashTail)
		a.unlist(s)
		a.replace(s)
		end()
	}
}
