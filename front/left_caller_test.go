package front_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospring/pomelospring/platform"
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
