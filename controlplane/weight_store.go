package controlplane

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pomelospring/pomelospring"
)

// WeightStore is a client of the platform's weight store.
type WeightStore struct {
	BaseURL string
	Client  *http.Client
}

var _ pomelospring.WeightStore = (*WeightStore)(nil)

// Fetch implements pomelospring.WeightStore.
func (w *WeightStore) Fetch(ctx context.Context, name pomelospring.AdapterVersion) (err error) {
	defer pomelospring.Annotate(&err, "fetch weights of %s", name)
	address := w.BaseURL + "/v1/weights/" + url.PathEscape(name.Adapter) + "/" + url.PathEscape(name.Version)
	_, err = call(ctx, w.Client, http.MethodGet, address, nil, nil)
	return err
}
