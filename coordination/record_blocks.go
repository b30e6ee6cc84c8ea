package coordination

import (
	"bytes"
	"encoding/binary"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/coordination/coordinationpb"
	"github.com/pomelospring/pomelospring/fleet"
)

const (
	// minBlockBytes and maxBlockBytes bound a block of a value.
	minBlockBytes = 512
	maxBlockBytes = 8 << 10
	// meanBlockBits is the logarithm of the mean length beyond the shortest one: shorter
	// blocks make the list of their hashes longer than the blocks that a change touches.
	meanBlockBits = 11
	// maxBlocksAsked bounds the blocks in one answer.
	maxBlocksAsked = 16
)

// gear holds a random number for each byte, for the rolling hash that cuts values.
var gear = func() (table [256]uint64) {
	for i := range table {
		table[i] = xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(i)))
	}
	return table
}()

// cutBlock returns the length of the first block of a value. The cut depends on the bytes
// just before it only, so that two versions of a value have most blocks in common.
func cutBlock(value []byte) int {
	end := min(len(value), maxBlockBytes)
	var hash uint64
	for i := range end {
		hash = hash<<1 + gear[value[i]]
		if i+1 >= minBlockBytes && hash <= math.MaxUint64>>meanBlockBits {
			return i + 1
		}
	}
	return end
}

// recordBlocks are the blocks of the value of one record.
type recordBlocks struct {
	name     fleet.AwaitedRecord
	digest   uint64
	hashes   []uint64
	contents map[uint64][]byte
	// former has the blocks that each of the last changes took out, the newest first, so that
	// fetches of the values before can end. They take no more than the value itself.
	former []map[uint64][]byte
}

// content returns a block of the value, or of one of those before; nil if there is none.
func (b *recordBlocks) content(hash uint64) []byte {
	if content := b.contents[hash]; content != nil {
		return content
	}
	for _, blocks := range b.former {
		if content := blocks[hash]; content != nil {
			return content
		}
	}
	return nil
}

// keepFormer keeps the blocks of the value before that this one lacks.
func (b *recordBlocks) keepFormer(before *recordBlocks, maxBytes int) {
	removed := map[uint64][]byte{}
	for hash, content := range before.contents {
		if b.contents[hash] == nil {
			// A part of the value before would keep all of it in memory.
			removed[hash] = bytes.Clone(content)
		}
	}
	kept := 0
	for _, blocks := range append([]map[uint64][]byte{removed}, before.former...) {
		for _, content := range blocks {
			kept += len(content)
		}
		if kept > maxBytes {
			return
		}
		b.former = append(b.former, blocks)
	}
}

func newRecordBlocks(record *pomelospring.KeyedRecord) *recordBlocks {
	b := &recordBlocks{
		name:     nameOf(record),
		digest:   xxhash.Sum64(record.Value),
		contents: map[uint64][]byte{},
	}
	for rest := record.Value; len(rest) > 0; {
		length := cutBlock(rest)
		hash := xxhash.Sum64(rest[:length])
		b.hashes = append(b.hashes, hash)
		b.contents[hash] = rest[:length]
		rest = rest[length:]
	}
	return b
}

func nameOf(record *pomelospring.KeyedRecord) fleet.AwaitedRecord {
	return fleet.AwaitedRecord{
		Key:      record.Key,
		Position: record.Position(),
		Revision: record.Revision,
	}
}

// RecordBlocks cuts the values of the operators' records on the board into blocks.
type RecordBlocks struct {
	Board *fleet.Board

	mu     sync.Mutex
	blocks map[string]*recordBlocks
}

// of returns the blocks of the newest record of a key, or nil if there is none.
func (r *RecordBlocks) of(key string) *recordBlocks {
	record, found := r.Board.OperatorRecord(key)
	if !found {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.blocks[key]; known != nil && known.name == nameOf(&record) {
		return known
	}
	if r.blocks == nil {
		r.blocks = map[string]*recordBlocks{}
	}
	blocks := newRecordBlocks(&record)
	if before := r.blocks[key]; before != nil {
		blocks.keepFormer(before, len(record.Value))
	}
	r.blocks[key] = blocks
	return blocks
}

// serve answers a request for blocks.
func (r *RecordBlocks) serve(request *coordinationpb.FetchRecordRequest) *coordinationpb.FetchRecordReply {
	blocks := r.of(request.Key)
	if blocks == nil {
		return &coordinationpb.FetchRecordReply{}
	}
	reply := &coordinationpb.FetchRecordReply{
		Offset:   blocks.name.Position.Offset,
		Era:      blocks.name.Position.Era,
		Revision: blocks.name.Revision,
		Digest:   blocks.digest,
	}
	if len(request.Blocks) == 0 {
		reply.Blocks = blocks.hashes
		return reply
	}
	for _, hash := range request.Blocks[:min(len(request.Blocks), maxBlocksAsked)] {
		reply.Contents = append(reply.Contents, blocks.content(hash))
	}
	return reply
}
