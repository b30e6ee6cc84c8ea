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
	// intentTimeout limits one call to an instance of the home domain.
	intentTimeout = 4 * time.Second
	// maxIntentAttempts is how many instances of the home domain are tried.
	maxIntentAttempts = 2
)

// IntentRouter sends intents to their home failure domain, which a hash of the
// idempotency key chooses. A repeated request finds the first one's intent there,
// whichever instance receives it.
type IntentRouter struct {
	Board     *blackboard.Blackboard
	Client    *peer.Client
	Committer *commit.Committer
	Clock     pomelospring.Clock
}

// home returns the failure domain of a key, by rendezvous hashing over the
// domains of the configured backend servers.
func (r *IntentRouter) home(key string) string {
	domains := map[string]bool{}
	for _, server := range r.Board.Configuration.Get().BackendServers {
		domains[server.Domain] = true
	}
	home, best := r.Board.Self.Domain, uint64(0)
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if weight := xxhash.Sum64String(domain + "\x00" + key); weight >= best {
			home, best = domain, weight
		}
	}
	return home
}

// Claim claims the intent of a key for an attempt and returns the claim's status;
// the answer is set if the request is already done.
func (r *IntentRouter) Claim(ctx context.Context, key, request, attempt string) (status commit.ClaimStatus, answer intent.Answer, err error) {
	defer pomelospring.Annotate(&err, "claim intent")
	home := r.home(key)
	if home == r.Board.Self.Domain {
		result, err := r.Committer.Claim(ctx, key, request, attempt)
		return result.ClaimStatus, result.Answer, err
	}
	err = r.callHome(ctx, home, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.ClaimIntent(ctx, &peerpb.ClaimIntentRequest{
			Key:     key,
			Request: request,
			Attempt: attempt,
			Domain:  home,
		})
		if err != nil {
			return err
		}
		status = commit.ClaimStatus(reply.GetState())
		answer = intent.Answer{
			Status:      int(reply.GetStatus()),
			ContentType: reply.GetContentType(),
			Body:        reply.GetBody(),
			BodyKept:    reply.GetBodyKept(),
		}
		return nil
	})
	return status, answer, err
}

// Settle records the outcome of an attempt.
func (r *IntentRouter) Settle(ctx context.Context, outcome intent.Outcome) (err error) {
	defer pomelospring.Annotate(&err, "settle intent")
	home := r.home(outcome.Key)
	if home == r.Board.Self.Domain {
		return r.Committer.Settle(ctx, outcome)
	}
	return r.callHome(ctx, home, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
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

// callHome makes a call to an instance of a failure domain and tries the next one
// if it fails. Claiming and settling may be repeated: a repeated claim is
// recognized by its attempt.
func (r *IntentRouter) callHome(ctx context.Context, home string, call func(ctx context.Context, client peerpb.DRPCPeerClient) error) error {
	err := errors.New("no instance of failure domain " + home + " can be reached")
	for _, instance := range r.homeInstances(home) {
		callCtx, cancel := context.WithTimeout(ctx, intentTimeout)
		err = call(callCtx, r.Client.At(callCtx, instance.PeerAddress))
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// homeInstances returns the instances of a domain to try. Most callers compute the
// same order, so that one instance receives the claims and commits them in
// batches.
func (r *IntentRouter) homeInstances(home string) []pomelospring.Instance {
	var found []pomelospring.Instance
	for _, instance := range r.Board.Peers.Get() {
		if instance.Domain == home && !instance.Leaving && r.Board.Reachable(instance.ID, r.Clock()) {
			found = append(found, instance)
		}
	}
	slices.SortFunc(found, func(a, b pomelospring.Instance) int {
		return cmp.Compare(xxhash.Sum64String("writer"+a.ID), xxhash.Sum64String("writer"+b.ID))
	})
	return found[:min(len(found), maxIntentAttempts)]
}
