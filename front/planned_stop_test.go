package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

// lateCall is a call that a caller sends around a planned stop.
type lateCall struct {
	id   string
	path string
	// kept says that the connection serves another call before, and begun that a part of the
	// head, or of a body in chunks, is sent before the stop; otherwise the connection is only
	// opened, just before it.
	kept   bool
	begun  bool
	chunks bool
	// after is the time from the stop to the rest of the call.
	after    time.Duration
	deadline time.Duration

	status int
	header http.Header
	body   string
	// whole says that the answer ended as its framing demands, and endedAfter how long after
	// the stop it ended.
	whole      bool
	endedAfter time.Duration
}

// send sends the call on a connection that is opened before the stop, which is closed at
// stopped and came at stoppedAt, and reads the answer; its status is 0 for none.
func (l *lateCall) send(address string, stopped <-chan struct{}, stoppedAt *time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if l.kept && !l.warm(conn, reader) {
		return
	}
	text, begun := l.request()
	sent := 0
	if l.begun {
		sent = begun
	}
	if _, err = io.WriteString(conn, text[:sent]); err != nil {
		return
	}
	<-stopped
	time.Sleep(time.Until(stoppedAt.Add(l.after)))
	defer func() { l.endedAfter = time.Since(*stoppedAt) }()
	if _, err = io.WriteString(conn, text[sent:]); err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	l.status, l.header, l.body, l.whole = response.StatusCode, response.Header, string(body), err == nil
}

// request returns the call as text, and how much of it is sent before the stop if it begins
// there.
func (l *lateCall) request() (text string, begun int) {
	text = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 100,10\r\n%s: m\r\n",
		l.path, standin.HeaderRequestID, l.id, standin.HeaderTokenCount, standin.HeaderAdapter)
	if l.deadline > 0 {
		text += fmt.Sprintf("%s: %d\r\n", standin.HeaderDeadline, l.deadline.Milliseconds())
	}
	if !l.chunks {
		text += "Content-Length: 0\r\n\r\n"
		return text, len(text) / 2
	}
	text += "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
	return text + "1\r\ny\r\n0\r\n\r\n", len(text)
}

// warm sends another call on the connection and reports whether it was answered.
func (l *lateCall) warm(conn net.Conn, reader *bufio.Reader) bool {
	warm := &lateCall{
		id:   "warm-" + l.id,
		path: "/order/",
	}
	text, _ := warm.request()
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// newConnectionTime is how long connections that were opened just before the stop stay open
// without a request.
const newConnectionTime = 4 * time.Second

// lateSteps is the number of times, 200 ms apart, at which late calls are sent.
const lateSteps = 38

// TestLateCallsAreCutByAPlannedStop guards against calls that come late in a planned stop
// and end with their connection instead of an answer, some after they were passed on.
func TestLateCallsAreCutByAPlannedStop(t *testing.T) {
	scenarios := []struct {
		name string
		path string
		// work is how long servers take.
		work time.Duration
		// deadline is the caller's; 0 for none.
		deadline time.Duration
	}{
		{name: "calls that run once", path: "/order/", work: 2500 * time.Millisecond},
		{name: "calls that run once, with a deadline", path: "/order/", work: 2500 * time.Millisecond, deadline: 3 * time.Second},
		{name: "calls that may be repeated", path: "/lookup/", work: 2500 * time.Millisecond},
		{name: "calls longer than the stop", path: "/order/", work: 9 * time.Second},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
			servers.play = func(e *exchange) {
				if strings.HasPrefix(e.id, "late") {
					time.Sleep(scenario.work)
				}
				e.answered("200 OK", length("done"), "done")
			}
			i := startWithRawServers(t, servers)
			client := &http.Client{Transport: &http.Transport{}}
			eventually(t, "serves", func() bool {
				got, _ := i.call(client, scenario.path, "warm")
				return got.Status == http.StatusOK
			})
			var began time.Time
			stopped := make(chan struct{})
			calls := make([]*lateCall, 0, 2*lateSteps)
			var group sync.WaitGroup
			for step := range lateSteps {
				for _, begun := range []bool{false, true} {
					l := &lateCall{
						id:    fmt.Sprintf("late-%d-%t", step, begun),
						path:  scenario.path,
						begun: begun,
						after: time.Duration(step) * 200 * time.Millisecond,

						deadline: scenario.deadline,
					}
					calls = append(calls, l)
					group.Go(func() { l.send(i.config.Listen.Callers, stopped, &began) })
				}
			}
			time.Sleep(300 * time.Millisecond)
			began = time.Now()
			i.stop()
			close(stopped)
			if err := <-i.done; err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > i.config.Bounds.StopWithin {
				t.Errorf("the stop took %s", took)
			}
			group.Wait()
			counts := map[string]int{}
			servers.mu.Lock()
			defer servers.mu.Unlock()
			for _, l := range calls {
				ran := servers.attempts[l.id] > 0
				counts[fmt.Sprintf("status %d, passed on %t", l.status, ran)]++
				if l.status == 0 && (ran || l.after < newConnectionTime) {
					t.Errorf("%s was closed without an answer, passed on %t", l.id, ran)
				}
				if l.status == http.StatusServiceUnavailable && (ran || l.header.Get("Retry-After") == "") {
					t.Errorf("%s was refused, passed on %t, with Retry-After %q", l.id, ran, l.header.Get("Retry-After"))
				}
			}
			t.Log(counts)
			if counts["status 200, passed on true"] == 0 && scenario.work < 5*time.Second {
				t.Error("no late call was served")
			}
		})
	}
}

const (
	// cutExcusedBefore is until when after the stop a call may be sent that is cut when the
	// instance ends, and cutsFrom the first moment at which it may be.
	cutExcusedBefore = 3 * time.Second
	cutsFrom         = 8 * time.Second * 5 / 6
)

// writeStream writes a stream of events, with a pause after the tenth.
func writeStream(e *exchange, events int, interval, pause time.Duration) {
	e.head(eventStream)
	for n := range events {
		e.write(fmt.Sprintf("id: %d\ndata: x\n\n", n+1))
		time.Sleep(interval)
		if n == 10 {
			time.Sleep(pause)
		}
	}
	e.end()
}

// check checks what a caller got of a stream of a number of events, and returns it. ran says that
// it was passed on.
func (l *lateCall) check(t *testing.T, ran bool, events int) (result string) {
	isWhole := l.whole && strings.Count(l.body, "\n\n") == events
	if ran && !isWhole && (l.after > cutExcusedBefore || l.endedAfter < cutsFrom) {
		t.Errorf("%s, sent %s after the stop, was cut %s after it", l.id, l.after, l.endedAfter)
	}
	if !ran && l.status != http.StatusServiceUnavailable && (l.status != 0 || l.begun && l.after < newConnectionTime) {
		t.Errorf("%s, sent %s after the stop, got status %d", l.id, l.after, l.status)
	}
	if l.status == http.StatusServiceUnavailable && (l.header.Get("Retry-After") == "" || ran) {
		t.Errorf("%s was refused, passed on %t, with Retry-After %q", l.id, ran, l.header.Get("Retry-After"))
	}
	return fmt.Sprintf("status %d, passed on %t, whole %t", l.status, ran, isWhole)
}

// TestLateStreamsAreCutByAPlannedStop guards against streams that begin late in a planned stop
// and are cut in the middle when the instance ends.
func TestLateStreamsAreCutByAPlannedStop(t *testing.T) {
	const interval = 60 * time.Millisecond
	scenarios := []struct {
		name   string
		events int
		// pause is how long the server is silent after the tenth event.
		pause time.Duration
		call  lateCall
	}{
		{name: "new connections", events: 73},
		{name: "new connections, with a deadline", events: 73, call: lateCall{deadline: 6 * time.Second}},
		{name: "new connections, silent servers", events: 33, pause: 1200 * time.Millisecond},
		{name: "kept connections", events: 73, call: lateCall{kept: true}},
		{name: "kept connections, silent servers", events: 33, pause: 1200 * time.Millisecond, call: lateCall{kept: true}},
		{name: "heads that have begun", events: 73, call: lateCall{begun: true}},
		{name: "bodies in chunks", events: 73, call: lateCall{begun: true, chunks: true}},
		{name: "bodies in chunks on kept connections", events: 33, call: lateCall{begun: true, chunks: true, kept: true}},
		{name: "longer than the stop", events: 150},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
			servers.play = func(e *exchange) {
				if strings.HasPrefix(e.id, "late") {
					writeStream(e, scenario.events, interval, scenario.pause)
					return
				}
				e.answered("200 OK", length("done"), "done")
			}
			i := startWithRawServers(t, servers)
			client := &http.Client{Transport: &http.Transport{}}
			eventually(t, "serves", func() bool {
				got, _ := i.call(client, "/order/", "warm")
				return got.Status == http.StatusOK
			})
			var began time.Time
			stopped := make(chan struct{})
			calls := make([]*lateCall, lateSteps)
			var group sync.WaitGroup
			for step := range calls {
				l := scenario.call
				l.id, l.path, l.after = fmt.Sprintf("late-%d", step), "/brief/", time.Duration(step)*200*time.Millisecond
				calls[step] = &l
				group.Go(func() { l.send(i.config.Listen.Callers, stopped, &began) })
			}
			time.Sleep(300 * time.Millisecond)
			began = time.Now()
			i.stop()
			close(stopped)
			if err := <-i.done; err != nil {
				t.Error(err)
			}
			group.Wait()
			counts := map[string]int{}
			servers.mu.Lock()
			defer servers.mu.Unlock()
			for _, l := range calls {
				counts[l.check(t, servers.attempts[l.id] > 0, scenario.events)]++
			}
			t.Log(counts)
			if counts["status 200, passed on true, whole true"] == 0 && scenario.events < 100 && !scenario.call.kept {
				t.Error("no late stream was served")
			}
		})
	}
}

// keptCaller sends streams one after another over a connection that it keeps as long as it can.
type keptCaller struct {
	id int
	// cut lists the streams that were passed on and not answered whole, and that a planned stop
	// doesn't excuse; whole and refused count the others.
	cut     []string
	whole   int
	refused int
}

// run sends streams of a number of events to an instance until connections to it fail.
func (k *keptCaller) run(address string, events int, stoppedAt *time.Time, stopped <-chan struct{}, ran func(id string) bool) {
	for n := 0; ; n++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		// Pools open connections before they need them.
		time.Sleep(time.Duration(k.id*7%20) * 230 * time.Millisecond)
		for again := 0; ; again++ {
			l := &lateCall{
				id:     fmt.Sprintf("late-%d-%d-%d", k.id, n, again),
				path:   "/brief/",
				chunks: k.id%3 == 0,
			}
			sentAt := time.Now()
			l.exchange(conn, reader, time.Duration(k.id%4)*300*time.Millisecond)
			isWhole := l.whole && strings.Count(l.body, "\n\n") == events
			switch {
			case isWhole:
				k.whole++
			case l.status == http.StatusServiceUnavailable:
				k.refused++
			case ran(l.id):
				k.judge(l.id, sentAt, stoppedAt, stopped)
			}
			if !isWhole || l.header.Get("Connection") == "close" {
				break
			}
		}
		_ = conn.Close()
	}
}

// judge records a stream that was cut, unless it was sent early in the stop and the instance had
// little time left.
func (k *keptCaller) judge(id string, sentAt time.Time, stoppedAt *time.Time, stopped <-chan struct{}) {
	now := time.Now()
	select {
	case <-stopped:
		if sentAt.Sub(*stoppedAt) <= cutExcusedBefore && now.Sub(*stoppedAt) >= cutsFrom {
			return
		}
		k.cut = append(k.cut, fmt.Sprintf("%s, sent %s and cut %s after the stop", id, sentAt.Sub(*stoppedAt), now.Sub(*stoppedAt)))
	default:
		k.cut = append(k.cut, id+", cut before the stop")
	}
}

// exchange sends the call, its body in chunks with a pause inside, and reads the answer.
func (l *lateCall) exchange(conn net.Conn, reader *bufio.Reader, pause time.Duration) {
	text, begun := l.request()
	if l.chunks {
		if _, err := io.WriteString(conn, text[:begun]); err != nil {
			return
		}
		time.Sleep(pause)
		text = text[begun:]
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	l.status, l.header, l.body, l.whole = response.StatusCode, response.Header, string(body), err == nil
}

// TestStopsInTurnCutStreams guards against streams that are cut around planned stops that
// overlap, while the configuration changes, servers fall silent for a second and callers use
// their connections until the process is gone.
func TestStopsInTurnCutStreams(t *testing.T) {
	const (
		events      = 73
		interval    = 60 * time.Millisecond
		instances   = 3
		perInstance = 40
		pause       = 1500 * time.Millisecond
		// lead is the time before the first stop, over which callers begin.
		lead = 6 * time.Second
	)
	servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
	servers.play = func(e *exchange) { writeStream(e, events, interval, time.Second) }
	store, address := newStoreWithRawServers(t, servers)
	ran := func(id string) bool {
		servers.mu.Lock()
		defer servers.mu.Unlock()
		return servers.attempts[id] > 0
	}
	callers := make([]*keptCaller, 0, instances*perInstance)
	var group sync.WaitGroup
	stops := make([]chan struct{}, instances)
	stoppedAt := make([]time.Time, instances)
	all := make([]*instance, 0, instances)
	for n := range instances {
		all = append(all, startBeforeRawServers(t, fmt.Sprint("i", n), address))
	}
	for n, i := range all {
		eventually(t, "ready", i.ready)
		stops[n] = make(chan struct{})
		for range perInstance {
			k := &keptCaller{id: len(callers)}
			callers = append(callers, k)
			group.Go(func() {
				time.Sleep(time.Duration(k.id%perInstance) * lead / perInstance)
				k.run(i.config.Listen.Callers, events, &stoppedAt[n], stops[n], ran)
			})
		}
	}
	changes, endChanges := context.WithCancel(t.Context())
	group.Go(func() {
		for version := 2; pomelospring.Sleep(changes, 400*time.Millisecond) == nil; version++ {
			changed := strings.Replace(framingPolicy, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
			store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(strings.ReplaceAll(changed, "20000", fmt.Sprint(20000-version))))
		}
	})
	time.Sleep(lead)
	for n, i := range all {
		stoppedAt[n] = time.Now()
		close(stops[n])
		i.stop()
		time.Sleep(pause)
	}
	for _, i := range all {
		if err := <-i.done; err != nil {
			t.Error(err)
		}
	}
	endChanges()
	group.Wait()
	whole, refused := 0, 0
	for _, k := range callers {
		whole, refused = whole+k.whole, refused+k.refused
		for _, cut := range k.cut {
			t.Error(cut)
		}
	}
	t.Logf("%d streams whole, %d refused", whole, refused)
	if whole < len(callers) || refused == 0 {
		t.Errorf("%d streams whole, %d refused: the stops met few", whole, refused)
	}
}
