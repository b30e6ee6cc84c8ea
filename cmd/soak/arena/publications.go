package arena

import (
	"sync"
	"time"

	"github.com/pomelospring/pomelospring/standin"
)

// publications are what the operator and the servers wrote to the store. They write it
// again once the store is back from a copy that lacks it.
type publications struct {
	store *standin.Store

	mu     sync.Mutex
	latest map[topicKey]publication
}

type topicKey struct {
	topic string
	key   string
}

// publication is the latest value of a key; no value removes the key.
type publication struct {
	value []byte
	at    time.Time
}

func newPublications(store *standin.Store) *publications {
	return &publications{
		store:  store,
		latest: map[topicKey]publication{},
	}
}

// put writes the value of a key.
func (p *publications) put(topic, key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest[topicKey{topic, key}] = publication{
		value: value,
		at:    time.Now(),
	}
	p.store.Put(topic, key, value)
}

// repeat writes again what was written after a time.
func (p *publications) repeat(after time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, latest := range p.latest {
		if latest.at.After(after) {
			p.store.Put(k.topic, k.key, latest.value)
		}
	}
}
