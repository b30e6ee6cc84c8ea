package entry_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospring/pomelospring"
)

// rejectingBackend has servers that turn all calls away.
type rejectingBackend struct {
	status int
	notice pomelospring.ServerNotice
}

func (b *rejectingBackend) Send(context.Context, *pomelospring.Call, pomelospring.Dispatch) (*pomelospring.BackendAnswer, error) {
	return &pomelospring.BackendAnswer{
		Status: b.status,
		Header: http.Header{},
		Body:   http.NoBody,
		Signed: true,
		NotRun: true,
		Notice: b.notice,
	}, nil
}

// TestOnlyFullServersHaveNoRoom guards against servers that turn calls away for another
// reason and get less from then on.
func TestOnlyFullServersHaveNoRoom(t *testing.T) {
	load := pomelospring.ServerLoadReport{Running: 2, Slots: 8}
	scenarios := []struct {
		name   string
		status int
		notice pomelospring.ServerNotice
		full   bool
	}{
		{name: "full", status: http.StatusServiceUnavailable, notice: pomelospring.ServerNotice{Load: load}, full: true},
		{name: "over its limit", status: http.StatusTooManyRequests, notice: pomelospring.ServerNotice{Load: load, RequestsPerSecond: 5}},
		{name: "too many requests", status: http.StatusTooManyRequests, notice: pomelospring.ServerNotice{Load: load}},
		{name: "pausing", status: http.StatusServiceUnavailable, notice: pomelospring.ServerNotice{Load: load, PausedUntil: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}},
		{name: "leaving", status: http.StatusServiceUnavailable, notice: pomelospring.ServerNotice{Load: load, Leaving: true}},
		{name: "another server", status: http.StatusMisdirectedRequest},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newLimitedFleet(1, &limitedBackend{})[0]
				service.Backend = &rejectingBackend{status: scenario.status, notice: scenario.notice}
				service.Serve(t.Context(), call("/lookup/1"), &refusedResponder{})
				speeds := service.Board.ServerSpeeds(time.Now())
				if full := len(speeds) > 0; full != scenario.full {
					t.Errorf("full is %t, want %t: %+v", full, scenario.full, speeds)
				}
			})
		})
	}
}

// TestErrorsTellNoSpeed guards against servers that count as fast as they answer with errors
// at once.
func TestErrorsTellNoSpeed(t *testing.T) {
	scenarios := []struct {
		status int
		want   bool
	}{
		{status: http.StatusOK, want: true},
		{status: http.StatusNotFound},
		{status: http.StatusInternalServerError},
	}
	for _, scenario := range scenarios {
		t.Run(http.StatusText(scenario.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newLimitedFleet(1, &limitedBackend{answer: func(string, int) script {
					return script{status: scenario.status}
				}})[0]
				service.Serve(t.Context(), call("/lookup/1"), &refusedResponder{})
				if learned := service.Board.Speeds("app").PlainCall > 0; learned != scenario.want {
					t.Errorf("a speed was learned: %t, want %t", learned, scenario.want)
				}
			})
		})
	}
}
