package controllers

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
	"github.com/pomelospring/pomelospring/stream"
)

const (
	// peerReadTimeout limits reading a stream from one peer.
	peerReadTimeout = time.Second
	// maxPeersRead is the number of replies after which no more peers are asked.
	maxPeersRead = 3
)

// PeerStreamReader reads streams from other instances while the log is
// unreachable. It implements stream.Peers.
type PeerStreamReader struct {
	Board  *blackboard.Blackboard
	Client *peer.Client
	Clock  pomelospring.Clock
}

var _ stream.Peers = (*PeerStreamReader)(nil)

// ReadRecords asks a few peers, in random order, and returns the reply that was
// current most recently.
func (p *PeerStreamReader) ReadRecords(ctx context.Context, name string, from int64) (batch stream.PeerBatch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s from peers", name)
	err = errors.New("no peer can be reached")
	replies := 0
	for _, instance := range p.Board.Peers.Get() {
		if replies >= maxPeersRead {
			break
		}
		if !p.Board.Reachable(instance.ID, p.Clock()) {
			continue
		}
		reply, readErr := p.readFromPeer(ctx, instance, name, from)
		if readErr != nil {
			continue
		}
		replies++
		err = nil
		if !reply.Fresh.Before(batch.Fresh) {
			batch = reply
		}
	}
	return batch, err
}

// readFromPeer reads the records of a stream from an offset on, as one peer has
// them.
func (p *PeerStreamReader) readFromPeer(ctx context.Context, instance pomelospring.Instance, name string, from int64) (batch stream.PeerBatch, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	reply, err := p.Client.At(ctx, instance.PeerAddress).ReadRecords(ctx, &peerpb.ReadRecordsRequest{
		Stream: name,
		From:   from,
	})
	if err != nil {
		return batch, err
	}
	batch.Snapshot = reply.GetSnapshot()
	if reply.GetFresh() != 0 {
		batch.Fresh = time.Unix(0, reply.GetFresh())
	}
	for _, encoded := range reply.GetRecords() {
		var record pomelospring.StoredRecord
		if err = json.Unmarshal(encoded, &record); err != nil {
			return batch, err
		}
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}
