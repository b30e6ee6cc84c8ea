package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

// dialCorked connects to the instance for callers. What is written arrives with the close
// of the connection, as if the instance had not read it before.
func (i *instance) dialCorked(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) (err error) {
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	conn, err := dialer.Dial("tcp", i.config.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestCallOfACallerThatLeftUnreadReachesAServer guards against calls that are sent to
// servers although their callers had left before the instance read them.
func TestCallOfACallerThatLeftUnreadReachesAServer(t *testing.T) {
	const calls = 40
	const head = "X-Pomelospring-Request-Id: left-%d\r\nX-Pomelospring-Deadline-Ms: 8000\r\nAuthorization: Bearer k1\r\n"
	scenarios := []struct {
		name    string
		request string
	}{
		{name: "a lookup without a body", request: "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n" + head + "\r\n"},
		{name: "an order with a body", request: "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n" + head + "\r\nabc"},
		{name: "a stream in chunks", request: "POST /proof/1 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\nX-Pomelospring-Model-Id: m/a1\r\nX-Pomelospring-Token-Count: 100,10\r\n" + head + "\r\n3\r\nabc\r\n0\r\n\r\n"},
		{name: "a stream for an adapter that no server has", request: "POST /proof/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nX-Pomelospring-Model-Id: m/b%[1]d\r\nX-Pomelospring-Token-Count: 100,10\r\n" + head + "\r\nabc"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			store, address, w := newStoreWithWorker(t)
			app := newWorker(t, "i-app")
			app.service = "app"
			store.Put(platform.ServerTopic, app.id, app.entry("ready"))
			i := startInstance(t, "a", address)
			eventually(t, "serves", func() bool { return i.serves("k1", "a1") && i.sendTo("probe", "/lookup/1") == 200 })
			for n := range calls {
				conn := i.dialCorked(t)
				fmt.Fprintf(conn, scenario.request, n)
				_ = conn.Close()
			}
			time.Sleep(500 * time.Millisecond)
			if got := w.countLeft() + app.countLeft(); got > 0 {
				t.Errorf("%d of %d calls reached a server after their callers had left", got, calls)
			}
		})
	}
}

// countLeft counts the executed requests of callers that had left.
func (w *worker) countLeft() (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, executions := range w.executions {
		var n int
		if _, err := fmt.Sscanf(id, "left-%d", &n); err == nil {
			count += executions
		}
	}
	return count
}

// heldRun is a server's answer that goes on until its connection closes, or for
// maxHeldRun.
type heldRun struct {
	worker *worker
	// events is the number of events that are sent before.
	events int
	began  chan struct{}
	// ended gets the time at which the connection closed; zero if it did not.
	ended chan time.Time
}

const maxHeldRun = 3 * time.Second

func (h *heldRun) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.PathReport || r.URL.Path == standin.PathOrder || r.Header.Get(standin.HeaderRequestID) != "held" {
		h.worker.ServeHTTP(out, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	out.Header().Set(standin.HeaderStamp, h.worker.id)
	out.Header().Set(standin.HeaderRequestID, "held")
	for n := range h.events {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", n+1)
		_ = http.NewResponseController(out).Flush()
	}
	h.began <- struct{}{}
	select {
	case <-r.Context().Done():
		h.ended <- time.Now()
	case <-time.After(maxHeldRun):
		h.ended <- time.Time{}
	}
}

// TestRunOutlastsItsCaller guards against servers that are at work on calls whose callers
// have left, also if bytes that follow the request hide the close.
func TestRunOutlastsItsCaller(t *testing.T) {
	const head = "Host: shop.example\r\nX-Pomelospring-Request-Id: held\r\nX-Pomelospring-Deadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: 3\r\n"
	const streamHead = "X-Pomelospring-Model-Id: m/a1\r\nX-Pomelospring-Token-Count: 100,10\r\n"
	requests := []struct {
		name    string
		request string
		events  int
	}{
		{name: "a lookup", request: "POST /lookup/1 HTTP/1.1\r\n" + head + "\r\nabc"},
		{name: "an order", request: "POST /order/1 HTTP/1.1\r\n" + head + "\r\nabc"},
		{name: "a stream before its first event", request: "POST /proof/1 HTTP/1.1\r\n" + head + streamHead + "\r\nabc"},
		{name: "a stream between events", request: "POST /proof/1 HTTP/1.1\r\n" + head + streamHead + "\r\nabc", events: 2},
	}
	followers := []struct{ name, bytes string }{
		{name: "", bytes: ""},
		{name: " with a line break behind", bytes: "\r\n"},
		{name: " with a byte behind", bytes: "\n"},
		{name: " with a request behind", bytes: "GET /lookup/2 HTTP/1.1\r\nHost: shop.example\r\n\r\n"},
	}
	store, address, w := newStoreWithWorker(t)
	app := newWorker(t, "i-app")
	app.service = "app"
	runs := []*heldRun{{worker: w}, {worker: app}}
	began, ended := make(chan struct{}, 1), make(chan time.Time, 1)
	for _, run := range runs {
		run.began, run.ended = began, ended
		run.worker.server.Config.Handler = run
	}
	store.Put(platform.ServerTopic, app.id, app.entry("ready"))
	i := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return i.serves("k1", "a1") && i.sendTo("probe", "/lookup/1") == 200 })
	for _, request := range requests {
		for _, follower := range followers {
			t.Run(request.name+follower.name, func(t *testing.T) {
				runs[0].events = request.events
				conn, err := net.Dial("tcp", i.config.Listen.Callers)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = fmt.Fprint(conn, request.request)
				<-began
				_, _ = fmt.Fprint(conn, follower.bytes)
				time.Sleep(50 * time.Millisecond)
				left := time.Now()
				_ = conn.Close()
				switch end := <-ended; {
				case end.IsZero():
					t.Errorf("the server was at work %s after the caller had left", maxHeldRun)
				case end.Sub(left) > 500*time.Millisecond:
					t.Errorf("the server was at work until %s after the caller had left, want 500 ms at most", end.Sub(left))
				}
			})
		}
	}
}
