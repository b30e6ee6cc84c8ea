package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/tmaxmax/go-sse"
)

const (
	// orderTimeout limits an order to load or unload an adapter.
	orderTimeout = 30 * time.Second
	// reportTimeout limits the fetch of a load report.
	reportTimeout = 2 * time.Second
	// maxAnswerBytes limits a load report and an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
)

// ErrAdapterNotLoaded means that the adapter is not resident on the model worker,
// which did not run the request.
var ErrAdapterNotLoaded = errors.New("the adapter is not loaded on the model worker")

// ErrFenced means that the model worker refused an order because it has seen a
// higher fencing number.
var ErrFenced = errors.New("the model worker has seen a higher fencing number")

// Request is an inference request to a model worker.
type Request struct {
	ID        string
	Path      string
	Adapter   pomelospring.AdapterVersion
	Body      []byte
	Streaming bool
}

// Client calls model workers.
type Client struct {
	HTTP *http.Client
	// Scheme of the model workers' URLs: http or https.
	Scheme string
}

// Report fetches a model worker's load report.
func (c *Client) Report(ctx context.Context, server pomelospring.BackendServer) (report pomelospring.LoadReport, err error) {
	defer pomelospring.Annotate(&err, "load report of %s", server.Name)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(server, PathReport), nil)
	if err != nil {
		return report, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&report)
	return report, err
}

// Load orders a model worker to load an adapter. It returns ErrFenced if the
// fencing number is too low.
func (c *Client) Load(ctx context.Context, server pomelospring.BackendServer, adapter pomelospring.AdapterVersion, fence int64) (err error) {
	defer pomelospring.Annotate(&err, "load %s on %s", adapter, server.Name)
	return c.order(ctx, server, PathLoad, fence, LoadOrder{
		Name: adapter.String(),
		Path: adapter.Adapter + "/" + adapter.Version,
	})
}

// Unload orders a model worker to unload an adapter. It returns ErrFenced if the
// fencing number is too low.
func (c *Client) Unload(ctx context.Context, server pomelospring.BackendServer, adapter pomelospring.AdapterVersion, fence int64) (err error) {
	defer pomelospring.Annotate(&err, "unload %s from %s", adapter, server.Name)
	return c.order(ctx, server, PathUnload, fence, UnloadOrder{
		Name: adapter.String(),
	})
}

// order posts an order with its fencing number; a status below 400 is success.
func (c *Client) order(ctx context.Context, server pomelospring.BackendServer, path string, fence int64, order any) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(server, path), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderFence, strconv.FormatInt(fence, 10))
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrFenced
	case response.StatusCode >= http.StatusBadRequest:
		return fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(answer)))
	}
	return nil
}

// Generate sends a request and passes each event of a streamed answer, or the
// full body, to emit. It fails if the answer names another request or another
// adapter.
func (c *Client) Generate(ctx context.Context, server pomelospring.BackendServer, request Request, emit func(data []byte) error) (usage Usage, err error) {
	defer pomelospring.Annotate(&err, "generate on %s", server.Name)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(server, request.Path), bytes.NewReader(request.Body))
	if err != nil {
		return usage, err
	}
	outgoing.Header.Set("Content-Type", "application/json")
	outgoing.Header.Set(HeaderRequestID, request.ID)
	response, err := c.HTTP.Do(outgoing)
	if err != nil {
		return usage, err
	}
	defer response.Body.Close()
	if err := checkAnswer(response, request); err != nil {
		return usage, err
	}
	if request.Streaming {
		return readStream(response.Body, request, emit)
	}
	return readFullBody(response.Body, request, emit)
}

// checkAnswer verifies the status and the request ID of an answer.
func checkAnswer(response *http.Response, request Request) error {
	if response.StatusCode == http.StatusNotFound {
		return ErrAdapterNotLoaded
	}
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return &StatusError{
			Status: response.StatusCode,
			Text:   strings.TrimSpace(string(answer)),
		}
	}
	if id := response.Header.Get(HeaderRequestID); id != "" && id != request.ID {
		return fmt.Errorf("the answer is for request %s", id)
	}
	return nil
}

// StatusError is an answer whose HTTP status is neither 200 nor 404.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (s *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", s.Status, s.Text)
}

// readFullBody passes an answer that is not streamed to emit.
func readFullBody(body io.Reader, request Request, emit func([]byte) error) (usage Usage, err error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return usage, err
	}
	answer, err := parseAnswer(data, request)
	if err != nil {
		return usage, err
	}
	if answer.Usage != nil {
		usage = *answer.Usage
	}
	return usage, emit(data)
}

// readStream passes each event to emit until the [DONE] event. A stream that ends
// without it is an error, even if the connection closes cleanly: the answer may
// be truncated. Completion tokens are counted by events until the model worker
// reports its usage.
func readStream(body io.Reader, request Request, emit func([]byte) error) (usage Usage, err error) {
	config := &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
	}
	for event, err := range sse.Read(body, config) {
		if err != nil {
			return usage, err
		}
		if event.Data == "[DONE]" {
			return usage, nil
		}
		answer, err := parseAnswer([]byte(event.Data), request)
		if err != nil {
			return usage, err
		}
		if answer.Usage != nil {
			usage = *answer.Usage
		} else if len(answer.Choices) > 0 {
			usage.CompletionTokens++
		}
		if err := emit([]byte(event.Data)); err != nil {
			return usage, err
		}
	}
	return usage, io.ErrUnexpectedEOF
}

// parseAnswer decodes an answer or an event and verifies that it comes from the
// requested adapter.
func parseAnswer(data []byte, request Request) (answer Answer, err error) {
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("decode answer: %w", err)
	}
	if answer.Model != "" && answer.Model != request.Adapter.String() {
		return answer, fmt.Errorf("the answer is from model %s", answer.Model)
	}
	return answer, nil
}

func (c *Client) url(server pomelospring.BackendServer, path string) string {
	return c.Scheme + "://" + server.Address + path
}
