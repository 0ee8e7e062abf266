package service

import (
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/backend"
)

// clientRetention is how long an unused client of a back end is kept. Its connections are closed
// long before that; keeping the client saves creating another one.
const clientRetention = time.Minute

// clientPool holds the clients of recently used back ends. It is safe for concurrent use.
// Clients are created on demand because one takes 1.4 kB of memory: 14 MB for 10,000 declared back
// ends, of which a daemon uses a few dozen in a minute.
type clientPool struct {
	mutex      sync.Mutex
	clients    map[string]*pooledClient // by back end id
	lastPruned time.Time
}

type pooledClient struct {
	client   *backend.Client
	lastUsed time.Time
}

// get returns the client of a back end, creating it if there is none with these options.
func (p *clientPool) get(now time.Time, id string, options backend.Options) *backend.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.prune(now)
	pooled, known := p.clients[id]
	if known && pooled.client.HasOptions(options) {
		pooled.lastUsed = now
		return pooled.client
	}
	if known {
		pooled.client.Close()
	}
	if p.clients == nil {
		p.clients = make(map[string]*pooledClient)
	}
	created := &pooledClient{client: backend.NewClient(options), lastUsed: now}
	p.clients[id] = created
	return created.client
}

// prune removes clients that have not been used for clientRetention. The caller holds the mutex.
func (p *clientPool) prune(now time.Time) {
	if now.Sub(p.lastPruned) < clientRetention/2 {
		return
	}
	p.lastPruned = now
	p.removeIf(func(_ string, pooled *pooledClient) bool { return now.Sub(pooled.lastUsed) > clientRetention })
}

// removeIf closes and removes the clients for which remove returns true. Their requests in flight
// continue. The caller holds the mutex.
func (p *clientPool) removeIf(remove func(id string, pooled *pooledClient) bool) {
	for id, pooled := range p.clients {
		if remove(id, pooled) {
			pooled.client.Close()
			delete(p.clients, id)
		}
	}
}

// retain removes the clients of back ends that are not declared.
func (p *clientPool) retain(declared func(id string) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removeIf(func(id string, _ *pooledClient) bool { return !declared(id) })
}
