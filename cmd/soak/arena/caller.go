package arena

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/standin"
)

const (
	// requestTimeout is the time that callers leave, and callerPatience how long they
	// wait for the end of an answer.
	requestTimeout = 5 * time.Second
	callerPatience = 10 * time.Second
	// meanCallInterval is the mean time between two requests of a caller, with
	// usualInstances instances. The requests of the whole fleet stay the same with more.
	meanCallInterval = 80 * time.Millisecond
	usualInstances   = 4
	// callersPerInstance is the number of callers with a connection of their own, beside
	// the one of the team that sends more than its quota.
	callersPerInstance = 2
	// adapterCount is the number of adapters in use.
	adapterCount = 12
)

var errOutOfRotation = errors.New("the instance gets no new connections")

// caller sends requests to one instance, over connections that it keeps.
type caller struct {
	instance *instance
	client   *http.Client
	recorder *history.Recorder
	// part is a prompt part for all requests, if set.
	part string
	// request is the name of the request that is sent each time; empty for others.
	request string
	name    string
	sent    int
}

func newCaller(name string, i *instance, recorder *history.Recorder) *caller {
	dialer := net.Dialer{
		Timeout: time.Second,
	}
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if !i.inRotation.Load() {
				return nil, errOutOfRotation
			}
			return dialer.DialContext(ctx, network, address)
		},
	}
	return &caller{
		instance: i,
		recorder: recorder,
		name:     name,
		client: &http.Client{
			Transport: transport,
			Timeout:   callerPatience,
		},
	}
}

// target is what a request is for.
type target struct {
	path    string
	key     string
	team    string
	adapter string
	events  int
}

// run sends requests at random times, with a mean interval, until the context ends.
func (c *caller) run(ctx context.Context, interval time.Duration, random *rand.Rand, draw func() target) {
	defer c.client.CloseIdleConnections()
	for pomelospring.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(interval))) == nil {
		c.send(draw())
	}
}

func drawTarget(random *rand.Rand, keys []string) target {
	key := keys[random.IntN(len(keys))]
	if random.IntN(3) == 0 {
		return orderTarget(key)
	}
	return streamTarget(key, fmt.Sprint("a", random.IntN(adapterCount)))
}

func orderTarget(key string) target {
	return target{
		path:   orderPath,
		key:    key,
		team:   teamOf(key),
		events: orderEvents,
	}
}

func streamTarget(key, adapter string) target {
	return target{
		path:    streamPath,
		key:     key,
		team:    teamOf(key),
		adapter: adapter,
		events:  streamEvents,
	}
}

// send sends one request and records what came back.
func (c *caller) send(t target) history.Request {
	c.sent++
	r := history.Request{
		ID:         fmt.Sprintf("%s-%d", c.name, c.sent),
		Instance:   c.instance.name,
		Key:        t.key,
		Team:       t.team,
		Adapter:    t.adapter,
		Part:       c.part,
		EventCount: t.events,
		Sent:       time.Now(),
	}
	suffix := r.ID
	if c.request != "" {
		suffix = c.request
	}
	c.exchange(&r, t.path+suffix)
	r.Ended = time.Now()
	c.recorder.Record(func(h *history.History) { h.Requests = append(h.Requests, r) })
	return r
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(r *history.Request, path string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.instance.callers+path, strings.NewReader("x"))
	if err != nil {
		r.Broken = err.Error()
		return
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+r.Key)
	request.Header.Set(standin.HeaderRequestID, r.ID)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if r.Adapter != "" {
		request.Header.Set(standin.HeaderAdapter, modelName+"/"+r.Adapter)
		request.Header.Set(standin.HeaderTokenCount, "100,10")
		request.Header.Set(standin.HeaderPromptPrefix, "5e:60,"+r.ID+":40")
	}
	if r.Part != "" {
		request.Header.Set(standin.HeaderPromptPrefix, "5e:60,"+r.Part+":30,"+r.ID+":10")
	}
	response, err := c.client.Do(request)
	if err != nil {
		var failed *net.OpError
		r.Unreached = errors.Is(err, errOutOfRotation) || errors.As(err, &failed) && failed.Op == "dial"
		r.Broken = err.Error()
		return
	}
	defer response.Body.Close()
	r.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.Broken = err.Error()
	}
	if r.Status != http.StatusOK {
		return
	}
	if r.Events, err = readEvents(body); err != nil && r.Broken == "" {
		r.Broken = err.Error()
	}
}

// readEvents decodes the whole events of a stream. Bytes after the last one are an
// error.
func readEvents(body []byte) (all []history.Event, err error) {
	for {
		text, rest, found := bytes.Cut(body, []byte("\n\n"))
		if !found {
			break
		}
		body = rest
		_, data, _ := bytes.Cut(text, []byte("data: "))
		var event history.Event
		if err := json.Unmarshal(data, &event); err != nil {
			return all, fmt.Errorf("event %q: %w", text, err)
		}
		all = append(all, event)
	}
	if len(body) > 0 {
		return all, fmt.Errorf("the stream ends inside an event: %q", body)
	}
	return all, nil
}

// crashServers sends requests that crash servers to an instance until a time: different
// ones with the same part, or the same one again and again.
func crashServers(c *caller, next func() target, until time.Time) {
	defer c.client.CloseIdleConnections()
	for time.Now().Before(until) {
		c.send(next())
		time.Sleep(crashingInterval)
	}
}
