// Package session keeps the plan, the history and the report of a soak in a
// directory.
package session

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/cmd/soak/arena"
	"github.com/pomelospring/pomelospring/cmd/soak/chart"
	"github.com/pomelospring/pomelospring/cmd/soak/history"
	"github.com/pomelospring/pomelospring/cmd/soak/plan"
)

// Files of a run, beside settings and logs of the processes.
const (
	planFile    = "plan.json"
	historyFile = "history.json"
	reportFile  = "report.json"
	textFile    = "report.txt"
	chartFile   = "timeline.png"
)

// Play plays a plan and keeps everything in a new directory.
func Play(ctx context.Context, programs arena.Programs, directory string, p plan.Plan) (report history.Report, err error) {
	defer pomelospring.Annotate(&err, "soak in %s", directory)
	if err = os.MkdirAll(directory, 0o700); err != nil {
		return report, err
	}
	if err = write(directory, planFile, p); err != nil {
		return report, err
	}
	h, err := arena.Run(ctx, programs, directory, p)
	if err != nil {
		return report, err
	}
	if err = write(directory, historyFile, h); err != nil {
		return report, err
	}
	report = history.NewReport(p.Seed, h)
	if err = write(directory, reportFile, report); err != nil {
		return report, err
	}
	if err = chart.Draw(history.NewTimeline(h), filepath.Join(directory, chartFile)); err != nil {
		return report, err
	}
	var text strings.Builder
	report.Print(&text)
	return report, os.WriteFile(filepath.Join(directory, textFile), []byte(text.String()), 0o600)
}

// ReadPlan returns the plan of an earlier run.
func ReadPlan(directory string) (p plan.Plan, err error) {
	err = read(directory, planFile, &p)
	return p, err
}

// Judge judges what an earlier run recorded.
func Judge(directory string) (report history.Report, err error) {
	p, err := ReadPlan(directory)
	if err != nil {
		return report, err
	}
	var h history.History
	if err = read(directory, historyFile, &h); err != nil {
		return report, err
	}
	return history.NewReport(p.Seed, &h), nil
}

func write(directory, file string, value any) (err error) {
	content, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, file), content, 0o600)
}

func read(directory, file string, value any) (err error) {
	defer pomelospring.Annotate(&err, "read %s", file)
	content, err := os.ReadFile(filepath.Join(directory, file))
	if err != nil {
		return err
	}
	return json.Unmarshal(content, value)
}
