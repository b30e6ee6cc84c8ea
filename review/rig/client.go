package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

// client sends requests, each on a new connection.
type client struct {
	http http.Client
	// random draws the fronts, the same ones in each play.
	random *rand.Rand
	name   string
	sent   int
}

func newClient(name string, seed uint64) *client {
	return &client{
		name:   name,
		random: rand.New(rand.NewPCG(seed, 50)),
		http: http.Client{
			Transport: &http.Transport{
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
		},
	}
}

// message is a request of a client.
type message struct {
	path     string
	body     string
	deadline time.Duration
	header   map[string]string
}

// answer is what a client got.
type answer struct {
	id         string
	front      string
	status     int
	retryAfter time.Duration
	// events are the data of the whole events, and lastID is the ID of the last one.
	events []string
	lastID string
	// broken says that the connection ended before the answer was whole.
	broken error
}

// send sends a request to a random front and reads its answer.
func (c *client) send(ctx context.Context, r *rig, m message) (a answer) {
	c.sent++
	f := r.fronts[c.random.IntN(len(r.fronts))]
	a = answer{
		id:    fmt.Sprintf("%s-%d", c.name, c.sent),
		front: f.name,
	}
	ctx, cancel := context.WithTimeout(ctx, m.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+m.path, strings.NewReader(m.body))
	if err != nil {
		a.broken = err
		return a
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(standin.HeaderRequestID, a.id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(m.deadline.Milliseconds(), 10))
	for name, value := range m.header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		a.broken = err
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.read(bufio.NewScanner(response.Body))
	return a
}

// read reads the events of an answer; one that is no stream has none.
func (a *answer) read(lines *bufio.Scanner) {
	id, data := "", ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		case line == "" && id != "":
			a.events = append(a.events, data)
			a.lastID = id
			id, data = "", ""
		}
	}
	a.broken = lines.Err()
}
