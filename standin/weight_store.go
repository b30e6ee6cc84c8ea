package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
)

// fullSpeedFetches is the number of concurrent fetches that run at full speed.
const fullSpeedFetches = 8

// WeightStore simulates the store of adapter weights. A fetch takes FetchTime
// while at most 8 are in flight, and proportionally longer beyond that.
type WeightStore struct {
	FetchTime time.Duration

	faults      faultInjector
	mu          sync.Mutex
	inFlight    int
	fetched     int
	maxInFlight int
}

var _ pomelospring.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a store whose fetches take fetchTime at full speed.
func NewWeightStore(fetchTime time.Duration) *WeightStore {
	return &WeightStore{
		FetchTime: fetchTime,
	}
}

// SetFaults replaces the active faults.
func (s *WeightStore) SetFaults(faults Faults) {
	s.faults.Set(faults)
}

// Fetch implements pomelospring.WeightStore.
func (s *WeightStore) Fetch(ctx context.Context, name pomelospring.AdapterVersion) (err error) {
	defer pomelospring.Annotate(&err, "fetch weights of %s", name)
	s.faults.delay(ctx)
	if s.faults.Get().Down {
		return errUnavailable
	}
	s.mu.Lock()
	s.inFlight++
	s.fetched++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	slowdown := max(1, float64(s.inFlight)/fullSpeedFetches)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inFlight--
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(float64(s.FetchTime) * slowdown)):
		return nil
	}
}

// WeightStoreCounts counts the fetches of a weight store.
type WeightStoreCounts struct {
	Fetched int `json:"fetched"`
	// MaxInFlight is the largest number of fetches in flight at once.
	MaxInFlight int `json:"most"`
}

// Counts returns the counts so far.
func (s *WeightStore) Counts() WeightStoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightStoreCounts{
		Fetched:     s.fetched,
		MaxInFlight: s.maxInFlight,
	}
}

// Handler serves the store's HTTP API, and its faults and counts under /standin.
func (s *WeightStore) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/standin/faults", &s.faults).Methods(http.MethodPut)
	router.HandleFunc("/standin/records", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	router.HandleFunc("/v1/weights/{adapter}/{version}", s.faults.wrap(s.handleFetch)).Methods(http.MethodGet)
	return router
}

func (s *WeightStore) handleFetch(w http.ResponseWriter, r *http.Request) {
	name := pomelospring.AdapterVersion{
		Adapter: mux.Vars(r)["adapter"],
		Version: mux.Vars(r)["version"],
	}
	if err := s.Fetch(r.Context(), name); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
