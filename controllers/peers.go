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
	// readTimeout bounds the reading of a stream from one peer.
	readTimeout = time.Second
	// peersRead bounds the peers that are asked in one go.
	peersRead = 3
)

// PeerStreamReader reads streams from other instances while the log is out of
// reach. It implements stream.Peers.
type PeerStreamReader struct {
	Board  *blackboard.Blackboard
	Client *peer.Client
	Clock  pomelospring.Clock
}

var _ stream.Peers = (*PeerStreamReader)(nil)

// ReadRecords asks a few peers, in random order, and takes the one that was
// current last.
func (p *PeerStreamReader) ReadRecords(ctx context.Context, name string, from int64) (reading stream.PeerBatch, err error) {
	defer pomelospring.Annotate(&err, "read stream %s from peers", name)
	err = errors.New("no peer can be reached")
	asked := 0
	for _, instance := range p.Board.Peers.Get() {
		if asked >= peersRead {
			break
		}
		if !p.Board.Reachable(instance.ID, p.Clock()) {
			continue
		}
		answer, askErr := p.ask(ctx, instance, name, from)
		if askErr != nil {
			continue
		}
		asked++
		err = nil
		if !answer.Fresh.Before(reading.Fresh) {
			reading = answer
		}
	}
	return reading, err
}

func (p *PeerStreamReader) ask(ctx context.Context, instance pomelospring.Instance, name string, from int64) (reading stream.PeerBatch, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := p.Client.At(ctx, instance.PeerAddress).ReadRecords(ctx, &peerpb.ReadRecordsRequest{
		Stream: name,
		From:   from,
	})
	if err != nil {
		return reading, err
	}
	reading.Snapshot = reply.GetSnapshot()
	if reply.GetFresh() != 0 {
		reading.Fresh = time.Unix(0, reply.GetFresh())
	}
	for _, encoded := range reply.GetRecords() {
		var record pomelospring.StoredRecord
		if err = json.Unmarshal(encoded, &record); err != nil {
			return reading, err
		}
		reading.Records = append(reading.Records, record)
	}
	return reading, nil
}
