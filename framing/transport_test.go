package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/framing"
)

const (
	body     = "01234567890"
	okHead   = "HTTP/1.1 200 OK\r\n"
	withSize = "Content-Length: 11\r\n"
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

func post(address string, upload int) (got received) {
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

func TestMalformedHeadIsTakenForAnAnswer(t *testing.T) {
	whole := received{Body: body}
	failed := received{Failed: true}
	scenarios := []struct {
		name   string
		answer string
		want   received
	}{
		{name: "a length", answer: okHead + withSize + "\r\n" + body, want: whole},
		{name: "chunks and a trailer", answer: okHead + "Transfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n0\r\nX-A: b\r\n\r\n", want: whole},
		{name: "the end of the connection", answer: okHead + "\r\n" + body, want: whole},
		{name: "an interim answer before", answer: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + okHead + withSize + "\r\n" + body, want: whole},
		{name: "a name with all characters of names", answer: okHead + withSize + "X!#$%&'*+-.^_`|~9a: 1\r\n\r\n" + body, want: whole},
		{name: "a folded value", answer: okHead + "X-A: b\r\n c\r\n" + withSize + "\r\n" + body, want: whole},
		{name: "an earlier version of HTTP/1", answer: "HTTP/1.0 200 OK\r\n" + withSize + "\r\n" + body, want: whole},
		{name: "status 000", answer: "HTTP/1.1 000 Odd\r\n" + withSize + "\r\n" + body, want: failed},
		{name: "a change of the protocol", answer: "HTTP/1.1 101 Odd\r\n" + withSize + "\r\n" + body, want: failed},
		{name: "status 600", answer: "HTTP/1.1 600 Odd\r\n" + withSize + "\r\n" + body, want: failed},
		{name: "a blank in a name", answer: okHead + withSize + "X Odd: 1\r\n\r\n" + body, want: failed},
		{name: "a framing with a blank behind its name", answer: okHead + "Transfer-Encoding : chunked\r\n\r\nb\r\n" + body + "\r\n0\r\n\r\n", want: failed},
		{name: "a blank in a name of an interim answer", answer: "HTTP/1.1 103 Early Hints\r\nX Odd: b\r\n\r\n" + okHead + withSize + "\r\n" + body, want: failed},
		{name: "a blank in a name of a trailer", answer: okHead + "Transfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n0\r\nX Odd: b\r\n\r\n", want: failed},
		{name: "another version of HTTP", answer: "HTTP/2.0 200 OK\r\n" + withSize + "\r\n" + body, want: failed},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			address := serve(t, func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, scenario.answer)
			})
			if diff := cmp.Diff(scenario.want, post(address, 1)); diff != "" {
				t.Error(diff)
			}
		})
	}
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
				if diff := cmp.Diff(scenario.want, post(address, uploadBytes)); diff != "" {
					t.Errorf("try %d: %s", n, diff)
				}
			}
		})
	}
}

// TestConnectionOfAMalformedAnswerServesAnother guards against another request on a connection
// whose server sent a malformed head.
func TestConnectionOfAMalformedAnswerServesAnother(t *testing.T) {
	connections := make(chan struct{}, 10)
	address := serve(t, func(conn *net.TCPConn, _ *http.Request) {
		connections <- struct{}{}
		for range 2 {
			_, _ = io.WriteString(conn, strings.Replace(okHead, "\r\n", "\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", 1))
			time.Sleep(20 * time.Millisecond)
		}
	})
	client := &http.Client{
		Transport: framing.NewTransport(&http.Transport{}),
	}
	for range 3 {
		response, err := client.Get("http://" + address)
		if err == nil {
			_ = response.Body.Close()
			t.Errorf("status %d", response.StatusCode)
		}
	}
	if diff := cmp.Diff(3, len(connections)); diff != "" {
		t.Errorf("connections: %s", diff)
	}
}

// TestChunksOfAnOldVersionAreTakenForABody guards against a body that holds the lines of its
// chunks. HTTP/1.0 has no chunks, so that the framing of such an answer is faulty.
func TestChunksOfAnOldVersionAreTakenForABody(t *testing.T) {
	long := "X-A: " + strings.Repeat("b", 20_000) + "\r\n"
	for _, fields := range []string{"", withSize, long, long + withSize} {
		address := serve(t, func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n"+fields+"transfer-Encoding: chunked\r\n\r\nb\r\n"+body+"\r\n0\r\n\r\n")
		})
		if diff := cmp.Diff(received{Failed: true}, post(address, 1)); diff != "" {
			t.Errorf("with %.30q: %s", fields, diff)
		}
	}
}
