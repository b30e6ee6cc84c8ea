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
	// orderTimeout bounds an order to load or unload.
	orderTimeout = 30 * time.Second
	// reportTimeout bounds a load report.
	reportTimeout = 2 * time.Second
	// answerLimit bounds a whole answer, in bytes.
	answerLimit = 16 << 20
	// eventLimit bounds one event of a stream, in bytes.
	eventLimit = 1 << 20
)

// ErrAdapterNotLoaded says that the model worker does not have the adapter; the request
// was not run.
var ErrAdapterNotLoaded = errors.New("the model worker does not have the adapter")

// ErrFenced says that the model worker has seen a higher fencing number.
var ErrFenced = errors.New("the order's fencing number is too old")

// Request is one request to a model worker.
type Request struct {
	ID        string
	Path      string
	Adapter   pomelospring.AdapterVersion
	Body      []byte
	Streaming bool
}

// Client speaks to model workers.
type Client struct {
	HTTP *http.Client
	// Scheme is http or https.
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
	err = json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&report)
	return report, err
}

// Load orders an adapter onto a model worker.
func (c *Client) Load(ctx context.Context, server pomelospring.BackendServer, adapter pomelospring.AdapterVersion, fence int64) (err error) {
	defer pomelospring.Annotate(&err, "load %s on %s", adapter, server.Name)
	return c.order(ctx, server, PathLoad, fence, LoadOrder{
		Name: adapter.String(),
		Path: adapter.Adapter + "/" + adapter.Version,
	})
}

// Unload orders an adapter off a model worker.
func (c *Client) Unload(ctx context.Context, server pomelospring.BackendServer, adapter pomelospring.AdapterVersion, fence int64) (err error) {
	defer pomelospring.Annotate(&err, "unload %s from %s", adapter, server.Name)
	return c.order(ctx, server, PathUnload, fence, UnloadOrder{
		Name: adapter.String(),
	})
}

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

// Generate runs a request and hands each event, or the whole body, to emit.
// An answer of another request or of another adapter is an error.
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
	return readWhole(response.Body, request, emit)
}

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
		return fmt.Errorf("the answer belongs to request %s", id)
	}
	return nil
}

// StatusError is an answer with a status that is not 200.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (s *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", s.Status, s.Text)
}

func readWhole(body io.Reader, request Request, emit func([]byte) error) (usage Usage, err error) {
	data, err := io.ReadAll(io.LimitReader(body, answerLimit))
	if err != nil {
		return usage, err
	}
	answer, err := parse(data, request)
	if err != nil {
		return usage, err
	}
	if answer.Usage != nil {
		usage = *answer.Usage
	}
	return usage, emit(data)
}

// readStream requires the closing event: a stream that ends without it is
// broken, however clean the end of the connection looks.
func readStream(body io.Reader, request Request, emit func([]byte) error) (usage Usage, err error) {
	config := &sse.ReadConfig{
		MaxEventSize: eventLimit,
	}
	for event, err := range sse.Read(body, config) {
		if err != nil {
			return usage, err
		}
		if event.Data == "[DONE]" {
			return usage, nil
		}
		answer, err := parse([]byte(event.Data), request)
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

func parse(data []byte, request Request) (answer Answer, err error) {
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("unreadable answer: %w", err)
	}
	if answer.Model != "" && answer.Model != request.Adapter.String() {
		return answer, fmt.Errorf("the answer comes from %s", answer.Model)
	}
	return answer, nil
}

func (c *Client) url(server pomelospring.BackendServer, path string) string {
	return c.Scheme + "://" + server.Address + path
}
