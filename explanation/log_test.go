package explanation_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/explanation"
)

const (
	policyLine  = `{"fields":{"event":620,"version":7},"level":"info","timestamp":"2026-12-04T05:00:00.1Z","message":"policyInForce"}`
	leaderLine  = `{"fields":{"event":423,"domain":"north"},"level":"warn","timestamp":"2026-12-04T05:00:00.2Z","message":"leaderLost"}`
	routedLine  = `{"fields":{"event":220,"request":"r1","server":"i-1","team":"shop"},"level":"info","timestamp":"2026-12-04T05:00:01Z","message":"callRouted"}`
	retriedLine = `{"fields":{"event":222,"request":"r1","server":"i-1","reason":"read tcp: connection reset"},"level":"warn","timestamp":"2026-12-04T05:00:02Z","message":"callRetried"}`
	refusedLine = `{"fields":{"event":221,"request":"r1","code":"overloaded","outcome":"notRun","reason":"the wait of 3.1s is longer"},"level":"info","timestamp":"2026-12-04T05:00:03Z","message":"callRefused"}`
	brokenLine  = `{"fields":{"event":224,"request":"r1","reason":"the backend server gave no answer"},"level":"warn","timestamp":"2026-12-04T05:00:03Z","message":"callBroken"}`
	leftLine    = `{"fields":{"event":225,"request":"r1","sends":1},"level":"info","timestamp":"2026-12-04T05:00:03Z","message":"callerLeft"}`
	servedLine  = `{"fields":{"event":223,"request":"r1","server":"i-2","status":200,"firstMs":812,"pauseMs":40,"placedMs":300},"level":"info","timestamp":"2026-12-04T05:00:03Z","message":"callServed"}`
	panicLine   = `{"fields":{"event":106,"request":"r1","panic":"index out of range","stack":"goroutine 7"},"level":"error","timestamp":"2026-12-04T05:00:03Z","message":"callPanicked"}`
	startLine   = `{"fields":{"event":100},"level":"info","timestamp":"2026-12-04T05:00:09Z","message":"started"}`
	droppedLine = `{"fields":{"event":105,"lines":12},"level":"warn","timestamp":"2026-12-04T05:00:09Z","message":"logLinesDropped"}`
)

func read(t *testing.T, lines ...string) *explanation.Log {
	t.Helper()
	history := explanation.NewLog()
	if err := history.Read("front.log", strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	return history
}

func TestCauseOf(t *testing.T) {
	scenarios := []struct {
		name  string
		lines []string
		want  explanation.Cause
	}{
		{
			name:  "served",
			lines: []string{routedLine, servedLine},
			want: explanation.Cause{
				End:  explanation.EndServed,
				Kind: "status 200",
				Text: "served by i-2, status 200, first event after 812 ms, longest pause 40 ms, waited 300 ms for its adapter",
			},
		},
		{
			name:  "refused after a failed attempt, lines out of order",
			lines: []string{refusedLine, retriedLine, routedLine},
			want: explanation.Cause{
				End:  explanation.EndRefused,
				Kind: "overloaded the wait of after read tcp: connection reset",
				Text: "refused: overloaded: the wait of 3.1s is longer (notRun); server i-1: read tcp: connection reset",
			},
		},
		{
			name:  "broken off",
			lines: []string{routedLine, retriedLine, brokenLine},
			want: explanation.Cause{
				End:  explanation.EndBroken,
				Kind: "the backend server gave no answer after read tcp: connection reset",
				Text: "broken off midway:  the backend server gave no answer; server i-1: read tcp: connection reset",
			},
		},
		{
			name:  "ended by a fault in the code",
			lines: []string{routedLine, panicLine},
			want: explanation.Cause{
				End:  explanation.EndBroken,
				Kind: "fault in the code",
				Text: "ended by a fault in the code: index out of range",
			},
		},
		{
			name:  "the caller left",
			lines: []string{routedLine, leftLine},
			want: explanation.Cause{
				End:  explanation.EndCallerLeft,
				Kind: "while a backend server was running it",
				Text: "the caller left while a backend server was running it",
			},
		},
		{
			name:  "the process ended and started again",
			lines: []string{routedLine, startLine},
			want: explanation.Cause{
				End:  explanation.EndProcessEnded,
				Kind: "process ended",
				Text: "process front.log ended while a backend server was running it",
			},
		},
		{
			name:  "lines were dropped",
			lines: []string{routedLine, droppedLine},
			want: explanation.Cause{
				End:  explanation.EndOpen,
				Text: "the process dropped log lines afterwards",
			},
		},
		{
			name:  "the log ends",
			lines: []string{routedLine},
			want: explanation.Cause{
				End:  explanation.EndOpen,
				Text: "no line records the end: the process did not start again, or its log stops",
			},
		},
		{
			name:  "no line names the request",
			lines: []string{policyLine},
			want: explanation.Cause{
				End:  explanation.EndUnknown,
				Text: "no line names the request: it reached none of these processes, or its lines were dropped",
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if diff := cmp.Diff(s.want, read(t, s.lines...).CauseOf("r1")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPrintShowsProcessStateAndCountsUnreadableLines(t *testing.T) {
	history := read(t, policyLine, leaderLine, "  1.25 front-north-1 "+policyLine, routedLine, routedLine[:60], "not a line", refusedLine)
	var out strings.Builder
	if err := history.Print(&out, "r1"); err != nil {
		t.Fatal(err)
	}
	want := `  believed  05:00:00.100 front.log 620 policyInForce version=7
  believed  05:00:00.200 front.log 423 leaderLost domain=north
05:00:01.000 front.log 220 callRouted server=i-1 team=shop
05:00:03.000 front.log 221 callRefused code=overloaded outcome=notRun reason=the wait of 3.1s is longer
cause: refused: overloaded: the wait of 3.1s is longer (notRun)
2 lines could not be read
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
}

func TestLineAfterACutOneIsRead(t *testing.T) {
	glued := routedLine[:len(routedLine)/2] + "  2.5 front.log " + refusedLine
	history := read(t, routedLine, glued)
	if diff := cmp.Diff(read(t, routedLine, refusedLine).CauseOf("r1"), history.CauseOf("r1")); diff != "" {
		t.Error(diff)
	}
	if history.Unreadable != 1 {
		t.Errorf("%d lines could not be read", history.Unreadable)
	}
}

func TestPrintCauses(t *testing.T) {
	other := strings.ReplaceAll(routedLine, "r1", "r2")
	var out strings.Builder
	if err := read(t, routedLine, refusedLine, other).PrintCauses(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1  refused  overloaded the wait of  (r1)", "1 of 2 requests that were not served have a cause"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in:\n%s", want, out.String())
		}
	}
}
