package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

const (
	host           = "portal.example"
	streamPath     = "/history/"
	clientKey      = "key-1"
	clientDeadline = 5 * time.Second
)

// request is one client attempt.
type request struct {
	id      string
	front   *front
	adapter string
	sentAt  time.Time
	status  int
}

// send sends a request over a connection of its own and reads the answer.
func (q *request) send(log *record) {
	q.sentAt = time.Now()
	log.printf("%s is sent to %s for %s", q.id, q.front.name, q.adapter)
	defer func() { log.printf("%s is answered with %d", q.id, q.status) }()
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.front.callers+streamPath+"a", strings.NewReader("prompt of "+q.id))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+clientKey)
	r.Header.Set(standin.HeaderRequestID, q.id)
	r.Header.Set(standin.HeaderDeadline, strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	r.Header.Set(standin.HeaderAdapter, modelName+"/"+q.adapter)
	r.Header.Set(standin.HeaderTokenCount, "800,40")
	r.Header.Set(standin.HeaderPromptPrefix, "5c1e07a2:500,"+q.id+":300")
	transport := &http.Transport{
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err == nil {
		q.status = response.StatusCode
	}
}
