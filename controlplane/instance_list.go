package controlplane

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pomelospring/pomelospring"
)

// listTimeout limits one call to the instance list.
const listTimeout = 3 * time.Second

// InstanceList is a client of the platform's instance list.
type InstanceList struct {
	BaseURL string
	Client  *http.Client
}

var _ pomelospring.InstanceList = (*InstanceList)(nil)

// ListedInstance is one entry of the list.
type ListedInstance struct {
	Instance pomelospring.Instance `json:"instance"`
	// Deadline is when the entry expires.
	Deadline time.Time `json:"deadline"`
}

// InstancesReply is the reply to a request for the list.
type InstancesReply struct {
	Instances []pomelospring.Instance `json:"instances"`
}

// List implements pomelospring.InstanceList.
func (l *InstanceList) List(ctx context.Context) (instances []pomelospring.Instance, err error) {
	defer pomelospring.Annotate(&err, "list instances")
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var reply InstancesReply
	_, err = call(ctx, l.Client, http.MethodGet, l.BaseURL+"/v1/instances", nil, &reply)
	return reply.Instances, err
}

// Put implements pomelospring.InstanceList.
func (l *InstanceList) Put(ctx context.Context, instance pomelospring.Instance, deadline time.Time) (err error) {
	defer pomelospring.Annotate(&err, "put instance %s into the instance list", instance.ID)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entry := ListedInstance{
		Instance: instance,
		Deadline: deadline,
	}
	_, err = call(ctx, l.Client, http.MethodPut, l.url(instance.ID), entry, nil)
	return err
}

// Remove implements pomelospring.InstanceList.
func (l *InstanceList) Remove(ctx context.Context, id string) (err error) {
	defer pomelospring.Annotate(&err, "remove instance %s from the instance list", id)
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_, err = call(ctx, l.Client, http.MethodDelete, l.url(id), nil, nil)
	return err
}

func (l *InstanceList) url(id string) string {
	return l.BaseURL + "/v1/instances/" + url.PathEscape(id)
}
