package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/controlplane"
)

// InstanceList is an in-memory instance list. An entry expires at its deadline.
type InstanceList struct {
	Clock pomelospring.Clock

	faults  faultInjector
	mu      sync.Mutex
	entries map[string]controlplane.ListedInstance
}

var _ pomelospring.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns an empty list.
func NewInstanceList(clock pomelospring.Clock) *InstanceList {
	return &InstanceList{
		Clock:   clock,
		entries: map[string]controlplane.ListedInstance{},
	}
}

// SetFaults replaces the active faults.
func (l *InstanceList) SetFaults(faults Faults) {
	l.faults.Set(faults)
}

// List implements pomelospring.InstanceList.
func (l *InstanceList) List(context.Context) (instances []pomelospring.Instance, err error) {
	defer pomelospring.Annotate(&err, "list instances")
	if l.faults.Get().Down {
		return nil, errUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.entries {
		if entry.Deadline.Before(l.Clock()) {
			delete(l.entries, id)
			continue
		}
		instances = append(instances, entry.Instance)
	}
	return instances, nil
}

// Put implements pomelospring.InstanceList.
func (l *InstanceList) Put(_ context.Context, instance pomelospring.Instance, deadline time.Time) (err error) {
	defer pomelospring.Annotate(&err, "put instance")
	if l.faults.Get().Down {
		return errUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[instance.ID] = controlplane.ListedInstance{
		Instance: instance,
		Deadline: deadline,
	}
	return nil
}

// Remove implements pomelospring.InstanceList.
func (l *InstanceList) Remove(_ context.Context, id string) (err error) {
	defer pomelospring.Annotate(&err, "remove instance")
	if l.faults.Get().Down {
		return errUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
	return nil
}

// Handler serves the list's HTTP API, and its faults under /standin.
func (l *InstanceList) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/standin/faults", &l.faults).Methods(http.MethodPut)
	router.HandleFunc("/v1/instances", l.faults.wrap(l.handleList)).Methods(http.MethodGet)
	router.HandleFunc("/v1/instances/{id}", l.faults.wrap(l.handlePut)).Methods(http.MethodPut)
	router.HandleFunc("/v1/instances/{id}", l.faults.wrap(l.handleRemove)).Methods(http.MethodDelete)
	return router
}

func (l *InstanceList) handleList(w http.ResponseWriter, r *http.Request) {
	instances, err := l.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, controlplane.InstancesReply{
		Instances: instances,
	})
}

func (l *InstanceList) handlePut(w http.ResponseWriter, r *http.Request) {
	var entry controlplane.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = l.Put(r.Context(), entry.Instance, entry.Deadline)
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) handleRemove(w http.ResponseWriter, r *http.Request) {
	_ = l.Remove(r.Context(), mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}
