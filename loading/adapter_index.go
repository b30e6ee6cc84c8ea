package loading

// adapterIndex maps an adapter to the workers that have it in some form.
type adapterIndex map[string]map[*worker]struct{}

func (i adapterIndex) add(adapter string, w *worker) {
	workers := i[adapter]
	if workers == nil {
		workers = map[*worker]struct{}{}
		i[adapter] = workers
	}
	workers[w] = struct{}{}
}

func (i adapterIndex) remove(adapter string, w *worker) {
	workers := i[adapter]
	delete(workers, w)
	if len(workers) == 0 {
		delete(i, adapter)
	}
}
