package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring"
)

// origins says of each stream that it began at one place.
type origins struct {
	pomelospring.StreamOrigin
	// asked counts the questions, and silent says that they are never answered.
	asked  int
	silent bool
}

func (*origins) Begin(pomelospring.StreamStart) {}

func (o *origins) Origin(ctx context.Context, _, _ string) pomelospring.StreamOrigin {
	o.asked++
	if o.silent {
		<-ctx.Done()
		return pomelospring.StreamOrigin{}
	}
	return o.StreamOrigin
}

func (*origins) Several(string) bool { return false }

// TestStreamTakenUpIsSentToAnotherService guards against streams of routes that split
// their calls between services, which are taken up at a service that did not begin them,
// and against questions that outlast the call or cost a team that is over its rate nothing.
func TestStreamTakenUpIsSentToAnotherService(t *testing.T) {
	const (
		calls = 20
		rest  = "id: 4\ndata: d\n\n"
	)
	scenarios := []struct {
		name   string
		origin pomelospring.StreamOrigin
		// rate is the team's rate in tokens a second; 0 for any.
		rate    float64
		silent  bool
		timeout time.Duration
		want    outcome
		asked   int
	}{
		{
			name: "begun at the first service", origin: pomelospring.StreamOrigin{Known: true, Service: "app", Software: "v1"},
			want: outcome{Status: http.StatusOK, Body: rest}, asked: calls,
		},
		{
			name: "begun at the second service", origin: pomelospring.StreamOrigin{Known: true, Service: "other", Software: "v2"},
			want: outcome{Status: http.StatusOK, Body: rest}, asked: calls,
		},
		{
			name: "begun at a version that has left", origin: pomelospring.StreamOrigin{Known: true, Service: "other", Software: "v1"},
			want: outcome{Code: pomelospring.CodeOriginGone, Outcome: pomelospring.NotRun}, asked: calls,
		},
		{
			name: "over the team's rate", origin: pomelospring.StreamOrigin{Known: true, Service: "app", Software: "v1"}, rate: 0.001,
			want: outcome{Code: pomelospring.CodeOverRate, Outcome: pomelospring.NotRun},
		},
		{
			name: "nobody answers", silent: true, timeout: 10 * time.Millisecond,
			want: outcome{Code: pomelospring.CodeOriginUnknown, Outcome: pomelospring.NotRun}, asked: calls,
		},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			b := &backend{}
			s := newService(b, false)
			s.Board.SetServers(map[string]pomelospring.FleetServer{
				"app-1":   {ID: "app-1", Service: "app", Domain: "north", Slots: 4, Software: "v1"},
				"other-1": {ID: "other-1", Service: "other", Domain: "north", Slots: 4, Software: "v2"},
			}, time.Now())
			changed := policy()
			changed.Version = 2
			changed.Routes = []pomelospring.PolicyRoute{{
				Name: "split", Host: "shop.example", Prefix: "/split/", Streaming: true, Resumable: true, Timeout: 4 * time.Second, Attempts: 1,
				Splits: []pomelospring.ServiceSplit{{Service: "app", Weight: 1}, {Service: "other", Weight: 1}},
			}}
			changed.Services["other"] = pomelospring.Service{Name: "other"}
			if scenario.rate > 0 {
				changed.Teams["shop"] = pomelospring.PolicyTeam{Name: "shop", PlainTokens: 1000, TokensPerSecond: scenario.rate, Burst: scenario.rate}
				s.Ledger.Configure(changed.Teams, time.Now())
			}
			s.Board.SetPolicy(changed)
			asked := &origins{StreamOrigin: scenario.origin, silent: scenario.silent}
			s.Origins = asked
			for range calls {
				b.replies = append(b.replies, reply{status: http.StatusOK, body: rest})
				call := &pomelospring.Call{
					ID: "2", Method: http.MethodPost, Host: "shop.example", Path: "/split/1", Key: key,
					ResumeAfter: "3", Resumes: "1", Arrived: time.Now(),
				}
				if scenario.timeout > 0 {
					call.Deadline = time.Now().Add(scenario.timeout)
				}
				out := &responder{}
				s.Serve(t.Context(), call, out)
				if diff := cmp.Diff(scenario.want, out.outcome); diff != "" {
					t.Fatal(diff)
				}
			}
			if diff := cmp.Diff(scenario.asked, asked.asked); diff != "" {
				t.Errorf("questions: %s", diff)
			}
		})
	}
}
