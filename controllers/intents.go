package controllers

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/commit"
	"github.com/pomelospring/pomelospring/intent"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
)

const (
	// intentTimeout bounds one call of an instance in the home domain.
	intentTimeout = 4 * time.Second
	// intentTries bounds how many instances of the home domain are tried.
	intentTries = 2
)

// IntentRouter takes intents to their home failure domain, which the hash of
// the key names, so that a repeat anywhere meets the first.
type IntentRouter struct {
	Board     *blackboard.Blackboard
	Client    *peer.Client
	Committer *commit.Committer
	Clock     pomelospring.Clock
}

// home is the failure domain of a key, among those that the configuration has.
func (h *IntentRouter) home(key string) string {
	domains := map[string]bool{}
	for _, server := range h.Board.Configuration.Get().BackendServers {
		domains[server.Domain] = true
	}
	home, best := h.Board.Self.Domain, uint64(0)
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if weight := xxhash.Sum64String(domain + "\x00" + key); weight >= best {
			home, best = domain, weight
		}
	}
	return home
}

// Claim reports what an attempt met.
func (h *IntentRouter) Claim(ctx context.Context, key, request, attempt string) (standing commit.ClaimStatus, answer intent.Answer, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	home := h.home(key)
	if home == h.Board.Self.Domain {
		verdict, err := h.Committer.Claim(ctx, key, request, attempt)
		return verdict.ClaimStatus, verdict.Answer, err
	}
	err = h.atHome(ctx, home, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.ClaimIntent(ctx, &peerpb.ClaimIntentRequest{
			Key:     key,
			Request: request,
			Attempt: attempt,
			Domain:  home,
		})
		if err != nil {
			return err
		}
		standing = commit.ClaimStatus(reply.GetState())
		answer = intent.Answer{
			Status:      int(reply.GetStatus()),
			ContentType: reply.GetContentType(),
			Body:        reply.GetBody(),
			BodyKept:    reply.GetBodyKept(),
		}
		return nil
	})
	return standing, answer, err
}

// Settle enters what became of an attempt.
func (h *IntentRouter) Settle(ctx context.Context, outcome intent.Outcome) (err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	home := h.home(outcome.Key)
	if home == h.Board.Self.Domain {
		return h.Committer.Settle(ctx, outcome)
	}
	return h.atHome(ctx, home, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		_, err := client.SettleIntent(ctx, &peerpb.SettleIntentRequest{
			Key:         outcome.Key,
			Attempt:     outcome.Attempt,
			State:       string(outcome.Status),
			Status:      int32(outcome.Answer.Status),
			ContentType: outcome.Answer.ContentType,
			Body:        outcome.Answer.Body,
			BodyKept:    outcome.Answer.BodyKept,
			Domain:      home,
		})
		return err
	})
}

// atHome calls an instance of a failure domain. Both calls may be repeated:
// an attempt's own claim is known by its attempt.
func (h *IntentRouter) atHome(ctx context.Context, home string, call func(ctx context.Context, client peerpb.DRPCPeerClient) error) error {
	err := errors.New("no instance of failure domain " + home + " can be reached")
	for _, instance := range h.instances(home) {
		callCtx, cancel := context.WithTimeout(ctx, intentTimeout)
		err = call(callCtx, h.Client.At(callCtx, instance.PeerAddress))
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// instances are those of a domain to try, in an order that most callers share,
// so that one of them gathers the claims.
func (h *IntentRouter) instances(home string) []pomelospring.Instance {
	var found []pomelospring.Instance
	for _, instance := range h.Board.Peers.Get() {
		if instance.Domain == home && !instance.Leaving && h.Board.Reachable(instance.ID, h.Clock()) {
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(a, b pomelospring.Instance) int {
		return cmp.Compare(xxhash.Sum64String("writer"+a.ID), xxhash.Sum64String("writer"+b.ID))
	})
	return found[:min(len(found), intentTries)]
}
