package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/platform"
	"github.com/pomelospring/pomelospring/standin"
)

const framingPolicy = `{"version":1,"routes":[
	{"name":"lookup","host":"shop.example","path-prefix":"/lookup/","kind":"safe","timeout-ms":20000,"service":"app","max-attempts":2},
	{"name":"order","host":"shop.example","path-prefix":"/order/","kind":"non_idempotent","timeout-ms":20000,"service":"app","max-attempts":1},
	{"name":"proof","host":"shop.example","path-prefix":"/proof/","kind":"streaming","resumable":true,"timeout-ms":20000,"target-latency-ms":4000,"service":"llm","max-attempts":2},
	{"name":"brief","host":"shop.example","path-prefix":"/brief/","kind":"streaming","timeout-ms":20000,"target-latency-ms":4000,"service":"llm","max-attempts":1}],
	"services":[{"name":"app"},{"name":"llm","engine":{"adapter-slots":8,"loads-per-s":1,"models":[{"name":"m","load-s":1}]}}],
	"limits":{"max-body-bytes":1000}}`

// retrySlack lets every scenario have its retries.
const retrySlack = 1000

// exchange is one request on a connection of a raw server, which the server answers
// byte by byte.
type exchange struct {
	conn    *net.TCPConn
	id      string
	attempt int
	// wait returns when the second half of the answer may be sent.
	wait func()
}

func (e *exchange) write(text string) { _, _ = io.WriteString(e.conn, text) }

// head starts an answer; an empty framing leaves it without a length and chunks.
func (e *exchange) head(framing string) {
	e.write("HTTP/1.1 200 OK\r\n" + standin.HeaderStamp + ": s1\r\n" + standin.HeaderRequestID + ": " + e.id + "\r\n" + framing + "\r\n")
}

// end ends the answer with its connection.
func (e *exchange) end() { _ = e.conn.Close() }

// reset resets the connection once the front has read what was sent.
func (e *exchange) reset() {
	time.Sleep(100 * time.Millisecond)
	_ = e.conn.SetLinger(0)
	_ = e.conn.Close()
}

// halves sends an answer in two halves, with a wait in between.
func (e *exchange) halves(first, second string) {
	e.head("")
	e.write(first)
	e.wait()
	e.write(second)
}

// rawServers answer requests over plain connections, so that the framing of their
// answers is exactly that of a script.
type rawServers struct {
	mu       sync.Mutex
	attempts map[string]int
	// conns counts the connections that served a request.
	conns int
	play  func(e *exchange)
	wait  func()
	// answersEarly is the start of the IDs of requests whose first attempt is played once the
	// head is read.
	answersEarly string
}

func (r *rawServers) listen(t *testing.T) (address string) {
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
			go r.serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (r *rawServers) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := false; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(standin.HeaderRequestID)
		r.mu.Lock()
		isEarly := r.answersEarly != "" && strings.HasPrefix(id, r.answersEarly) && r.attempts[id] == 0
		r.mu.Unlock()
		if !isEarly {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if id == "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		r.mu.Lock()
		r.attempts[id]++
		if !served {
			served = true
			r.conns++
		}
		e := &exchange{
			conn:    conn,
			id:      id,
			attempt: r.attempts[id],
			wait:    r.wait,
		}
		r.mu.Unlock()
		r.play(e)
	}
}

// startWithRawServers starts a front before two raw servers, which play
// application workers and model workers.
func startWithRawServers(t *testing.T, servers *rawServers) *instance {
	t.Helper()
	_, address := newStoreWithRawServers(t, servers)
	i := startBeforeRawServers(t, "a", address)
	eventually(t, "ready", i.ready)
	return i
}

// startBeforeRawServers starts a front that finds them in a store.
func startBeforeRawServers(t *testing.T, name, store string) *instance {
	config := newConfig(t, name, store)
	config.Bounds.RetrySlack = retrySlack
	return start(t, config)
}

// newStoreWithRawServers returns a store that lists two raw servers.
func newStoreWithRawServers(t *testing.T, servers *rawServers) (store *standin.Store, address string) {
	store = standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put(platform.OperatorTopic, platform.PolicyKey, []byte(framingPolicy))
	for n := range 2 {
		address := servers.listen(t)
		for _, service := range []string{"app", "llm"} {
			store.Put(platform.ServerTopic, fmt.Sprintf("i-%s-%d", service, n), fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":"north","slots":64,"state":"ready","born":1000,"models":[{"name":"m","version":1,"adapters":[]}],"seq":0}`, service, address))
		}
	}
	return store, strings.TrimPrefix(server.URL, "http://")
}

// received is what a caller got for one request.
type received struct {
	Status int
	Body   string
	// Complete is set if the answer ended as its framing demands.
	Complete bool
	// Attempts counts the requests that reached a server.
	Attempts int
}

// call sends a request and returns what the caller got of the answer.
func (i *instance) call(client *http.Client, path, id string) (got received, reused bool) {
	return i.upload(client, path, id, strings.NewReader("x"))
}

// upload is call with a body.
func (i *instance) upload(client *http.Client, path, id string, content io.Reader) (got received, reused bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+i.config.Listen.Callers+path, content)
	if err != nil {
		return received{}, false
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	}))
	request.Host = "shop.example"
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set(standin.HeaderTokenCount, "100,10")
	if strings.HasPrefix(path, "/proof/") || strings.HasPrefix(path, "/brief/") {
		request.Header.Set(standin.HeaderAdapter, "m")
	}
	response, err := client.Do(request)
	if err != nil {
		return received{}, reused
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got = received{
		Status:   response.StatusCode,
		Body:     string(body),
		Complete: err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0),
	}
	if got.Status != http.StatusOK {
		got.Body = ""
	}
	return got, reused
}

const (
	plainBody   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno, this is all one body"
	firstEvent  = "id: 1\ndata: a\n\n"
	laterEvents = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
)

// framingScenarios play answers with neither a length nor chunks.
var framingScenarios = []struct {
	name string
	path string
	play func(e *exchange)
	want received
}{
	{
		name: "an order ends with its connection", path: "/order/",
		play: func(e *exchange) { e.halves(plainBody[:9], plainBody[9:]); e.end() },
		want: received{Status: 200, Body: plainBody, Complete: true, Attempts: 1},
	},
	{
		name: "an order is reset on the way", path: "/order/",
		play: func(e *exchange) { e.halves(plainBody[:9], ""); e.reset() },
		want: received{Status: 502, Complete: true, Attempts: 1},
	},
	{
		name: "an order is cut inside the head", path: "/order/",
		play: func(e *exchange) { e.wait(); e.write("HTTP/1.1 200 OK\r\n" + standin.HeaderStamp + ": s"); e.end() },
		want: received{Status: 502, Complete: true, Attempts: 1},
	},
	{
		name: "a lookup is reset on the way, and the next one whole", path: "/lookup/",
		play: func(e *exchange) {
			e.halves(plainBody[:9], plainBody[9:])
			if e.attempt == 1 {
				e.reset()
			}
			e.end()
		},
		want: received{Status: 200, Body: plainBody, Complete: true, Attempts: 2},
	},
	{
		name: "a lookup is cut inside the head, and the next one whole", path: "/lookup/",
		play: func(e *exchange) {
			if e.attempt == 1 {
				e.write("HTTP/1.1 200 O")
				e.end()
				return
			}
			e.halves(plainBody[:9], plainBody[9:])
			e.end()
		},
		want: received{Status: 200, Body: plainBody, Complete: true, Attempts: 2},
	},
	{
		name: "a long order ends with its connection", path: "/order/",
		play: func(e *exchange) { e.halves(longHalf, longHalf); e.end() },
		want: received{Status: 200, Body: longHalf + longHalf, Complete: true, Attempts: 1},
	},
	{
		name: "a stream ends with its connection", path: "/brief/",
		play: func(e *exchange) { e.halves(firstEvent, laterEvents); e.end() },
		want: received{Status: 200, Body: firstEvent + laterEvents, Complete: true, Attempts: 1},
	},
	{
		name: "a stream ends inside an event", path: "/brief/",
		play: func(e *exchange) { e.halves(firstEvent, laterEvents[:9]); e.end() },
		want: received{Status: 200, Body: firstEvent, Attempts: 1},
	},
	{
		name: "a stream lacks the last line end of its last event", path: "/brief/",
		play: func(e *exchange) { e.halves(firstEvent, strings.TrimSuffix(laterEvents, "\n")); e.end() },
		want: received{Status: 200, Body: firstEvent + "id: 2\ndata: b\n\n", Attempts: 1},
	},
	{
		name: "a stream is reset after an event", path: "/brief/",
		play: func(e *exchange) { e.halves(firstEvent, ""); e.reset() },
		want: received{Status: 200, Body: firstEvent, Attempts: 1},
	},
	{
		name: "a stream is cut inside the head", path: "/brief/",
		play: func(e *exchange) { e.wait(); e.write("HTTP/1.1 200 OK\r\n" + standin.HeaderStamp); e.end() },
		want: received{Status: 502, Complete: true, Attempts: 1},
	},
	{
		name: "a resumable stream ends inside an event", path: "/proof/",
		play: func(e *exchange) {
			if e.attempt == 1 {
				e.halves(firstEvent, laterEvents[:9])
			} else {
				e.halves("", laterEvents)
			}
			e.end()
		},
		want: received{Status: 200, Body: firstEvent + laterEvents, Complete: true, Attempts: 2},
	},
	{
		name: "a resumable stream is reset after an event", path: "/proof/",
		play: func(e *exchange) {
			if e.attempt == 1 {
				e.halves(firstEvent, "")
				e.reset()
				return
			}
			e.halves("", laterEvents)
			e.end()
		},
		want: received{Status: 200, Body: firstEvent + laterEvents, Complete: true, Attempts: 2},
	},
	{
		name: "a resumable stream with a length goes on at a server that says more", path: "/proof/",
		play: func(e *exchange) {
			if e.attempt == 1 {
				e.head(fmt.Sprintf("Content-Length: %d\r\n", len(firstEvent+laterEvents)))
				e.write(firstEvent)
				e.wait()
				e.end()
				return
			}
			e.halves("", versionLine+laterEvents)
			e.end()
		},
		want: received{Status: 200, Body: firstEvent + versionLine + laterEvents, Complete: true, Attempts: 2},
	},
}

// longHalf is more than a front buffers of an answer that isn't streamed.
var longHalf = strings.Repeat("0123456789abcdef", 9<<16)

// versionLine begins an event at which the version of the weights changes.
const versionLine = "x-pomelospring-weight-versions: 2\n"

// playByID returns a script that plays the scenario whose index a request's ID
// ends in.
func playByID(e *exchange) {
	var n int
	_, _ = fmt.Sscanf(e.id, "s-%d", &n)
	framingScenarios[n].play(e)
}

// TestAnswersThatEndWithTheirConnectionAreWholeOrBroken guards against answers
// without a length that reach callers cut but complete, or whole but broken.
func TestAnswersThatEndWithTheirConnectionAreWholeOrBroken(t *testing.T) {
	for _, stop := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned stop %v", stop), func(t *testing.T) {
			stopping := make(chan struct{})
			servers := &rawServers{attempts: map[string]int{}, play: playByID, wait: func() { <-stopping }}
			i := startWithRawServers(t, servers)
			if !stop {
				close(stopping)
			}
			results := make([]received, len(framingScenarios))
			var group sync.WaitGroup
			for n := range framingScenarios {
				group.Go(func() {
					results[n], _ = i.call(&http.Client{Transport: &http.Transport{}}, framingScenarios[n].path, fmt.Sprintf("s-%d", n))
				})
			}
			if stop {
				time.Sleep(500 * time.Millisecond)
				i.stop()
				eventually(t, "accepts no connections", func() bool {
					conn, err := net.Dial("tcp", i.config.Listen.Callers)
					if err == nil {
						_ = conn.Close()
					}
					return err != nil
				})
				close(stopping)
			}
			group.Wait()
			for n, scenario := range framingScenarios {
				results[n].Attempts = servers.attempts[fmt.Sprintf("s-%d", n)]
				if diff := cmp.Diff(scenario.want, results[n]); diff != "" {
					t.Errorf("%s: %s", scenario.name, diff)
				}
			}
		})
	}
}

// TestAnswersThatEndWithTheirConnectionLeaveOthersAlone guards against answers that
// reach another request over a kept connection.
func TestAnswersThatEndWithTheirConnectionLeaveOthersAlone(t *testing.T) {
	servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
	servers.play = func(e *exchange) {
		body := "own of " + e.id
		if strings.HasSuffix(e.id, "closed") {
			e.halves(body[:3], body[3:])
			e.end()
			return
		}
		e.head(fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		e.write(body)
	}
	i := startWithRawServers(t, servers)
	client := &http.Client{Transport: &http.Transport{}}
	const calls = 40
	closed := 0
	for n := range calls {
		id := fmt.Sprintf("r%d-kept", n)
		if n%3 == 2 {
			id = fmt.Sprintf("r%d-closed", n)
			closed++
		}
		got, reused := i.call(client, "/lookup/", id)
		got.Attempts = servers.attempts[id]
		if diff := cmp.Diff(received{Status: 200, Body: "own of " + id, Complete: true, Attempts: 1}, got); diff != "" {
			t.Errorf("%s: %s", id, diff)
		}
		if n > 0 && !reused {
			t.Errorf("%s: the caller's connection was not kept", id)
		}
	}
	// Each of the two servers needs one connection more than it closes.
	if servers.conns > closed+2 {
		t.Errorf("%d connections to the servers for %d answers that ended with theirs", servers.conns, closed)
	}
}
