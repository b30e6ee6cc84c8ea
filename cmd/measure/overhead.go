package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"
	"github.com/pomelospring/pomelospring/engine"
)

// overheadCommand measures the time to first token of requests that are sent
// directly to a model worker and through a daemon.
type overheadCommand struct {
	workerURL string
	daemonURL string
	key       string
	model     string
	rate      int
	duration  time.Duration
}

// Name implements subcommands.Command.
func (*overheadCommand) Name() string { return "overhead" }

// Synopsis implements subcommands.Command.
func (*overheadCommand) Synopsis() string {
	return "measure the time to first token that a daemon adds"
}

// Usage implements subcommands.Command.
func (*overheadCommand) Usage() string {
	return `overhead -direct URL -through URL -key KEY -model MODEL [-rate N] [-length TIME]
  Sends requests at a steady rate to a model worker that has the model, then
  through a daemon, and prints quantiles of the time to first token.
`
}

// SetFlags implements subcommands.Command.
func (o *overheadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.workerURL, "direct", "http://127.0.0.1:7101", "base URL of the model worker")
	flags.StringVar(&o.daemonURL, "through", "http://127.0.0.1:8011", "base URL of the daemon")
	flags.StringVar(&o.key, "key", "", "caller's key")
	flags.StringVar(&o.model, "model", "billing@v2", "model to request")
	flags.IntVar(&o.rate, "rate", 200, "requests per second")
	flags.DurationVar(&o.duration, "length", 20*time.Second, "duration of each of the two measurements")
}

// Execute implements subcommands.Command.
func (o *overheadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...interface{}) subcommands.ExitStatus {
	for _, target := range []struct {
		name string
		url  string
	}{
		{
			name: "model worker",
			url:  o.workerURL,
		},
		{
			name: "through a daemon",
			url:  o.daemonURL,
		},
	} {
		histogram, failed := o.measureTarget(ctx, target.url)
		millis := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("| %s | %d | %d | %.2f | %.2f | %.2f |\n", target.name, histogram.TotalCount(), failed, millis(50), millis(95), millis(99))
	}
	return subcommands.ExitSuccess
}

// measureTarget sends requests at a constant rate. A request's time counts from
// when it was due, so that a delayed send is measured too.
func (o *overheadCommand) measureTarget(ctx context.Context, url string) (histogram *hdrhistogram.Histogram, failed int) {
	histogram = hdrhistogram.New(1, 60_000_000, 3)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1000,
		},
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	interval := time.Second / time.Duration(o.rate)
	start := time.Now()
	for i := 0; time.Since(start) < o.duration; i++ {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		group.Go(func() {
			err := o.sendRequest(ctx, client, url, func() {
				mu.Lock()
				defer mu.Unlock()
				_ = histogram.RecordValue(time.Since(due).Microseconds())
			})
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if failed++; failed == 1 {
				fmt.Fprintln(os.Stderr, err)
			}
		})
	}
	group.Wait()
	return histogram, failed
}

// sendRequest sends one streaming request, calls onFirstToken when the first
// token arrives and reads the rest of the answer.
func (o *overheadCommand) sendRequest(ctx context.Context, client *http.Client, url string, onFirstToken func()) (err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, o.model)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+engine.PathChat, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	if url == o.daemonURL {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	reader := bufio.NewReader(response.Body)
	if _, err = reader.ReadString('\n'); err != nil {
		return err
	}
	onFirstToken()
	_, err = io.Copy(io.Discard, reader)
	return err
}
