package metrics_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/metrics"
)

func TestLoggedEventsAreCounted(t *testing.T) {
	m := metrics.New()
	logger := &log.Logger{
		Handler: m.CountEvents(json.New(io.Discard)),
		Level:   log.InfoLevel,
	}
	for range 3 {
		events.Log(logger, events.StoreLost, log.Fields{})
	}
	want := `pomelospring_events{event="storeLost"} 3`
	// Counts are flushed to the reporter once a second.
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response := httptest.NewRecorder()
		m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
		if strings.Contains(response.Body.String(), want) {
			return
		}
	}
	t.Errorf("/metrics does not contain %s", want)
}
