package entry_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/entry"
	"github.com/pomelospring/pomelospring/fleet"
	"github.com/pomelospring/pomelospring/pacing"
)

const (
	limitWindow     = 4 * time.Second
	limitStableTime = 3 * time.Second
)

// limitedBackend has servers that name a limit in each answer. It records the calls of
// instances that have got such an answer.
type limitedBackend struct {
	limit float64
	// answer says how a server answers one call; nil for success.
	answer func(server string, count int) script

	mu       sync.Mutex
	arrivals map[string][]time.Time
}

// limitedInstance is what one instance sends to the servers.
type limitedInstance struct {
	servers *limitedBackend
	told    map[string]time.Time
}

func (i *limitedInstance) Send(ctx context.Context, _ *pomelospring.Call, dispatch pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	b, id, now := i.servers, dispatch.Server.ID, time.Now()
	b.mu.Lock()
	if told, found := i.told[id]; found && now.Sub(told) >= 500*time.Millisecond {
		b.arrivals[id] = append(b.arrivals[id], now)
	}
	var s script
	if b.answer != nil {
		s = b.answer(id, len(b.arrivals[id]))
	}
	b.mu.Unlock()
	timer := time.NewTimer(10*time.Millisecond + s.head)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	if s.err != nil {
		return nil, s.err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, found := i.told[id]; !found {
		i.told[id] = time.Now()
	}
	answer := &pomelospring.BackendAnswer{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader(events3)),
		Signed: true,
		Length: -1,
		Notice: pomelospring.ServerNotice{RequestsPerSecond: b.limit},
	}
	if s.status != 0 {
		answer.Status, answer.NotRun = s.status, s.notRun
	}
	return answer, nil
}

// sharedTurns is the leader that all instances ask, as one of them sees it.
type sharedTurns struct {
	coordinator
	mu       *sync.Mutex
	schedule *pacing.Schedule
	limit    float64
}

func (s *sharedTurns) Reserve(_ context.Context, server pomelospring.FleetServer, team string, latest time.Time) pomelospring.Reservation {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	reservation := s.schedule.Reserve(server.ID, team, s.limit, latest, time.Now())
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
	s.board.RecordNextTurn(server.ID, reservation.NextAt)
	return reservation
}

// newLimitedFleet returns instances before the same servers, which all name a limit.
func newLimitedFleet(count int, servers *limitedBackend) (services []*entry.Service) {
	servers.arrivals = map[string][]time.Time{}
	schedule, mu := &pacing.Schedule{KeepsCredit: true}, &sync.Mutex{}
	for range count {
		service := newService(nil, true)
		service.Backend = &limitedInstance{servers: servers, told: map[string]time.Time{}}
		service.Coordinator = &sharedTurns{
			coordinator: coordinator{board: service.Board, none: true},
			mu:          mu,
			schedule:    schedule,
			limit:       servers.limit,
		}
		services = append(services, service)
	}
	return services
}

// sendLimited sends calls at random instances for a time and returns how many were
// served, and the refusals.
func sendLimited(t *testing.T, services []*entry.Service, path string, perSecond float64, length time.Duration) (served int, refusals []*pomelospring.Refusal) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < length; {
		service := services[random.IntN(len(services))]
		group.Go(func() {
			out := &refusedResponder{}
			service.Serve(t.Context(), call(path), out)
			mu.Lock()
			defer mu.Unlock()
			if out.Status == http.StatusOK {
				served++
			}
			if out.refusal != nil {
				refusals = append(refusals, out.refusal)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	group.Wait()
	return served, refusals
}

// TestFleetExceedsOrWastesLimits guards against sends of any kind that pass by the limit
// of a server, and against limits that a fleet of some size can't use.
func TestFleetExceedsOrWastesLimits(t *testing.T) {
	const length = 30 * time.Second
	failsEachThird := func(_ string, count int) script {
		if count%3 == 2 {
			return script{status: http.StatusInternalServerError}
		}
		return script{}
	}
	silentEachThird := func(_ string, count int) script {
		if count%3 == 2 {
			return script{head: time.Hour}
		}
		return script{}
	}
	scenarios := []struct {
		name   string
		path   string
		limit  float64
		answer func(server string, count int) script
		// servers have what the calls need.
		servers []string
		// used is the least fraction of the limit that must be used.
		used float64
	}{
		{name: "lookups", path: "/lookup/1", limit: 5, servers: []string{"app-a", "app-b", "app-c"}, used: 0.8},
		{name: "orders", path: "/order/1", limit: 0.5, servers: []string{"app-a", "app-b", "app-c"}, used: 0.8},
		{name: "streams", path: "/brief/1", limit: 5, servers: []string{"a", "b"}, used: 0.8},
		{name: "lookups that are retried", path: "/lookup/1", limit: 5, answer: failsEachThird, servers: []string{"app-a", "app-b", "app-c"}, used: 0.8},
		{name: "lookups that are taken over", path: "/lookup/1", limit: 5, answer: silentEachThird, servers: []string{"app-a", "app-b", "app-c"}, used: 0.8},
		{name: "streams that are taken over", path: "/proof/1", limit: 5, answer: silentEachThird, servers: []string{"a", "b"}, used: 0.8},
	}
	for _, scenario := range scenarios {
		for _, instances := range []int{3, 10, 58, 195} {
			t.Run(fmt.Sprint(scenario.name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					servers := &limitedBackend{limit: scenario.limit, answer: scenario.answer}
					services := newLimitedFleet(instances, servers)
					began := time.Now()
					served, refusals := sendLimited(t, services, scenario.path, 60, length)
					count := 0
					for _, id := range scenario.servers {
						most := mostWithin(servers.arrivals[id], limitWindow, began.Add(limitStableTime))
						if allowed := int(1.5*scenario.limit*limitWindow.Seconds()) + 5; most > allowed {
							t.Errorf("%s got %d calls in 4 s, want at most %d", id, most, allowed)
						}
						count += len(servers.arrivals[id])
					}
					used := float64(count) / (scenario.limit * length.Seconds() * float64(len(scenario.servers)))
					t.Logf("%.2f of the limits used, %d calls served, %d refused", used, served, len(refusals))
					if used < scenario.used {
						t.Errorf("%.2f of the limits used, want %.2f", used, scenario.used)
					}
				})
			})
		}
	}
}

// mostWithin returns the largest number of times within a window that begins at start or
// later.
func mostWithin(times []time.Time, window time.Duration, start time.Time) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window || times[first].Before(start) && first < i {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// TestCallIsHeldForATurnThatIsTooLate guards against calls that are held although no
// turn comes in time, and against callers that are told to come back before there is
// one, or all at once.
func TestCallIsHeldForATurnThatIsTooLate(t *testing.T) {
	for _, path := range []string{"/lookup/1", "/order/1", "/brief/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &limitedBackend{limit: 0.1}
				service := newLimitedFleet(1, servers)[0]
				for _, id := range []string{"a", "b", "app-a", "app-b", "app-c"} {
					service.Board.RecordLimit(fleet.ServerLimit{Server: id, PerSecond: servers.limit, At: time.Now()}, time.Now())
				}
				retryTimes := map[time.Time]bool{}
				for range 10 {
					began, out := time.Now(), &refusedResponder{}
					service.Serve(t.Context(), call(path), out)
					if took := time.Since(began); took > 50*time.Millisecond {
						t.Errorf("the refusal took %s", took)
					}
					if out.refusal == nil || out.refusal.Outcome != pomelospring.NotRun || out.refusal.RetryAt.Before(began.Add(9*time.Second)) {
						t.Fatalf("%+v, want a refusal until the first turn", out.refusal)
					}
					retryTimes[out.refusal.RetryAt] = true
				}
				if len(retryTimes) < 5 {
					t.Errorf("ten callers come back at %d times", len(retryTimes))
				}
			})
		})
	}
}

// lateTurns is a coordinator whose first reservations are known only after their time, as
// to a process that was suspended.
type lateTurns struct {
	coordinator
	late  time.Duration
	asked int
}

func (l *lateTurns) Reserve(context.Context, pomelospring.FleetServer, string, time.Time) pomelospring.Reservation {
	l.asked++
	now := time.Now()
	if l.asked == 1 {
		time.Sleep(l.late)
	}
	return pomelospring.Reservation{
		Granted: true,
		At:      now,
		NextAt:  now,
	}
}

// TestTurnIsUsedLongAfterItsTime guards against calls that leave together after their
// turns have passed.
func TestTurnIsUsedLongAfterItsTime(t *testing.T) {
	scenarios := []struct {
		late  time.Duration
		asked int
	}{
		{late: 100 * time.Millisecond, asked: 1},
		{late: 600 * time.Millisecond, asked: 2},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &limitedBackend{limit: 5}
				service := newLimitedFleet(1, servers)[0]
				turns := &lateTurns{coordinator: coordinator{board: service.Board, none: true}, late: scenario.late}
				service.Coordinator = turns
				for _, id := range []string{"app-a", "app-b", "app-c"} {
					service.Board.RecordLimit(fleet.ServerLimit{Server: id, PerSecond: servers.limit, At: time.Now()}, time.Now())
				}
				out := &refusedResponder{}
				service.Serve(t.Context(), call("/lookup/1"), out)
				if out.Status != http.StatusOK || turns.asked != scenario.asked {
					t.Errorf("status %d after %d reservations, want 200 after %d", out.Status, turns.asked, scenario.asked)
				}
			})
		})
	}
}
