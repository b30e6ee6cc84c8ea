package front

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring/events"
)

// blockView is a block as operators see it.
type blockView struct {
	Parts []string `json:"parts"`
	// Teams is empty for all teams.
	Teams       []string  `json:"teams"`
	Crashes     int       `json:"crashes"`
	Servers     []string  `json:"servers"`
	LastCrashAt time.Time `json:"lastCrashAt"`
	TrialAt     time.Time `json:"trialAt"`
	ExpiresAt   time.Time `json:"expiresAt"`
}

// limitView is what a backend server takes from all instances together as operators see
// it: the limit that it names, or what it takes while it is cold.
type limitView struct {
	Server     string    `json:"server"`
	PerSecond  float64   `json:"perSecond"`
	NamedAt    time.Time `json:"namedAt,omitzero"`
	ColdUntil  time.Time `json:"coldUntil,omitzero"`
	NextTurnAt time.Time `json:"nextTurnAt,omitzero"`
}

// pathView is a broken path to a backend server as operators see it.
type pathView struct {
	Server      string    `json:"server"`
	BrokenSince time.Time `json:"brokenSince"`
	// UnreachableElsewhereAt is when other instances did not reach the server either.
	UnreachableElsewhereAt time.Time `json:"unreachableElsewhereAt,omitzero"`
}

// addInspection adds what operators may look at and change on this instance.
func (f *Front) addInspection(router *mux.Router) {
	router.HandleFunc("/blocks", f.showBlocks).Methods(http.MethodGet)
	router.HandleFunc("/blocks/{part}", f.liftBlock).Methods(http.MethodDelete)
	router.HandleFunc("/limits", f.showLimits).Methods(http.MethodGet)
	router.HandleFunc("/paths", f.showPaths).Methods(http.MethodGet)
}

func (f *Front) showBlocks(w http.ResponseWriter, _ *http.Request) {
	blocks := f.quarantine.Blocks(f.clock())
	views := make([]blockView, 0, len(blocks))
	for _, block := range blocks {
		views = append(views, blockView{
			Parts:       block.Parts,
			Teams:       slices.Sorted(maps.Keys(block.Teams)),
			Crashes:     block.Crashes,
			Servers:     block.Servers,
			LastCrashAt: block.LastCrashAt,
			TrialAt:     block.TrialAt,
			ExpiresAt:   block.ExpiresAt,
		})
	}
	writeJSON(w, views)
}

// liftBlock takes a part or request as answered now, which the whole fleet learns as it
// learns of answers.
func (f *Front) liftBlock(w http.ResponseWriter, r *http.Request) {
	part := mux.Vars(r)["part"]
	for _, block := range f.quarantine.Blocks(f.clock()) {
		if slices.Contains(block.Parts, part) {
			f.quarantine.RecordOutput(block.Parts, f.clock())
			events.Log(f.logger, events.BlockLifted, log.Fields{
				"parts": block.Parts,
			})
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

func (f *Front) showLimits(w http.ResponseWriter, _ *http.Request) {
	bounds, nextTurns := f.board.AllBounds(time.Now())
	views := make([]limitView, 0, len(bounds))
	for i := range bounds {
		views = append(views, limitView{
			Server:     bounds[i].Server,
			PerSecond:  bounds[i].PerSecond(1),
			NamedAt:    bounds[i].Limit.At,
			ColdUntil:  bounds[i].ColdUntil,
			NextTurnAt: nextTurns[i],
		})
	}
	writeJSON(w, views)
}

func (f *Front) showPaths(w http.ResponseWriter, _ *http.Request) {
	paths := f.board.BrokenPaths()
	views := make([]pathView, 0, len(paths))
	for _, path := range paths {
		views = append(views, pathView{
			Server:                 path.Server,
			BrokenSince:            path.Since,
			UnreachableElsewhereAt: path.UnreachableElsewhereAt,
		})
	}
	writeJSON(w, views)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
