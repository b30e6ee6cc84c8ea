package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/framing"
)

const (
	body   = "01234567890"
	okHead = "HTTP/1.1 200 OK\r\n"
	// uploadBytes is more than a connection holds of an upload.
	uploadBytes = 8 << 20
)

// serve answers each connection's first request by play, once its head is read.
func serve(t *testing.T, play func(conn *net.TCPConn, request *http.Request)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					play(conn.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// received is what a client got of an answer.
type received struct {
	Body   string
	Failed bool
}

func post(t *testing.T, address string, upload int) (got received) {
	client := &http.Client{
		Transport: framing.NewTransport(&http.Transport{}),
		Timeout:   10 * time.Second,
	}
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, upload)))
	if err != nil {
		return received{Failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return received{Failed: true}
	}
	return received{Body: string(content)}
}

// TestResetAnswerIsTakenForAWholeOne guards against a part of an answer that seems whole, and
// against whole ones that seem broken, while the request is still written.
func TestResetAnswerIsTakenForAWholeOne(t *testing.T) {
	const tries = 20
	scenarios := []struct {
		name string
		play func(conn *net.TCPConn, request *http.Request)
		want received
	}{
		{name: "reset before the upload is read", want: received{Failed: true}, play: func(conn *net.TCPConn, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		}},
		{name: "closed before the upload is read", want: received{Failed: true}, play: func(*net.TCPConn, *http.Request) {
			time.Sleep(20 * time.Millisecond)
		}},
		{name: "closed behind the upload", want: received{Body: body}, play: func(_ *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
		}},
		{name: "closed in one direction, and the upload read", want: received{Body: body}, play: func(conn *net.TCPConn, request *http.Request) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(20 * time.Millisecond)
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			address := serve(t, func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.WriteString(conn, okHead+"\r\n"+body)
				scenario.play(conn, request)
			})
			for n := range tries {
				if diff := cmp.Diff(scenario.want, post(t, address, uploadBytes)); diff != "" {
					t.Errorf("try %d: %s", n, diff)
				}
			}
		})
	}
}
