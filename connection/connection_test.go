package connection_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pomelospring/pomelospring/connection"
)

// TestCloseOfACallerIsNotSeenAtOnce guards against calls that go on because the HTTP
// server has not noticed yet that their callers have left.
func TestCloseOfACallerIsNotSeenAtOnce(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	scenarios := []struct {
		name      string
		encrypted bool
		leaves    func(conn net.Conn)
		want      bool
	}{
		{name: "stays", leaves: func(net.Conn) {}},
		{name: "closes", leaves: func(conn net.Conn) { _ = conn.Close() }, want: true},
		{name: "closes after more bytes", leaves: func(conn net.Conn) {
			_, _ = fmt.Fprint(conn, request)
			_ = conn.Close()
		}, want: true},
		{name: "resets", leaves: func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, want: true},
		{name: "closes an encrypted connection", encrypted: true, leaves: func(conn net.Conn) { _ = conn.Close() }, want: true},
		{name: "stays on an encrypted connection", encrypted: true, leaves: func(net.Conn) {}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			arrived, left, got := make(chan bool), make(chan bool), make(chan bool)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				ctx, cancel := connection.WithClose(r.Context())
				defer cancel()
				arrived <- true
				<-left
				got <- connection.Check(ctx) != nil
			}))
			server.Config.ConnContext = connection.Remember
			dial := net.Dial
			if scenario.encrypted {
				server.StartTLS()
				dial = func(network, address string) (net.Conn, error) {
					return tls.Dial(network, address, &tls.Config{InsecureSkipVerify: true})
				}
			} else {
				server.Start()
			}
			defer server.Close()
			conn, err := dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
					t.Error(err)
				}
			}()
			_, _ = fmt.Fprint(conn, request)
			<-arrived
			scenario.leaves(conn)
			// The close crosses the loopback interface.
			time.Sleep(20 * time.Millisecond)
			left <- true
			if closed := <-got; closed != scenario.want {
				t.Errorf("closed: %v, want %v", closed, scenario.want)
			}
		})
	}
}
