// Package controlplane has HTTP clients for the platform's log, instance list and
// weight store.
package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelospring/pomelospring"
)

// maxReplyBytes limits how much of a reply is read.
const maxReplyBytes = 64 << 20

// appendTimeout limits one append.
const appendTimeout = 5 * time.Second

// readGrace is how long a read may take beyond the wait that it asked for.
const readGrace = 3 * time.Second

// Log is a client of the platform's log.
type Log struct {
	BaseURL string
	Client  *http.Client
}

var _ pomelospring.Log = (*Log)(nil)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records []pomelospring.Record `json:"records"`
}

// AppendReply is the reply to an append.
type AppendReply struct {
	// Offset is that of the first appended record.
	Offset int64 `json:"offset"`
}

// Append implements pomelospring.Log.
func (l *Log) Append(ctx context.Context, stream string, records []pomelospring.Record) (offset int64, err error) {
	defer pomelospring.Annotate(&err, "append to stream %s", stream)
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	request := AppendRequest{
		Records: records,
	}
	var reply AppendReply
	_, err = call(ctx, l.Client, http.MethodPost, l.url(stream), request, &reply)
	return reply.Offset, err
}

// Read implements pomelospring.Log. The service holds the request back until
// records arrive or the deadline passes.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, deadline time.Time) (batch pomelospring.Batch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s from %d", stream, from)
	wait := max(0, time.Until(deadline))
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	query := url.Values{
		"from":             {strconv.FormatInt(from, 10)},
		"limit":            {strconv.Itoa(limit)},
		"waitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, err := call(ctx, l.Client, http.MethodGet, l.url(stream)+"?"+query.Encode(), nil, &batch)
	if status == http.StatusGone {
		return batch, pomelospring.ErrTruncated
	}
	return batch, err
}

func (l *Log) url(stream string) string {
	return l.BaseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// call sends one JSON request and decodes the reply. Status 410 (Gone) is not an
// error, since its reply carries the first retained offset.
func call(ctx context.Context, client *http.Client, method, address string, body, reply any) (status int, err error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return response.StatusCode, err
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusGone {
		return response.StatusCode, fmt.Errorf("status %d: %.200s", response.StatusCode, answer)
	}
	if reply == nil || len(answer) == 0 {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(answer, reply)
}
