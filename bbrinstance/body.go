package bbrinstance

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrcontrol"
)

const (
	// bodyCache bounds the kept bodies.
	bodyCache = 8
	// bodyRetry is the pause after a body could not be had.
	bodyRetry = 200 * time.Millisecond
	// bodyPeers is the number of peers that are asked for a body.
	bodyPeers = 3
)

// bodies brings the configuration that the journal names into force.
type bodies struct {
	i    *Instance
	kick chan struct{}

	mu    sync.Mutex
	known map[string][]byte
	order []string
}

func newBodies(i *Instance) *bodies {
	return &bodies{i: i, kick: make(chan struct{}, 1), known: map[string][]byte{}}
}

// wake asks for a look at the journal's state.
func (b *bodies) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

func (b *bodies) get(hash string) ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	body, ok := b.known[hash]
	return body, ok
}

// keep remembers a body for this instance and its peers.
func (b *bodies) keep(hash string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.known[hash]; ok {
		return
	}
	b.known[hash] = body
	b.order = append(b.order, hash)
	if len(b.order) > bodyCache {
		delete(b.known, b.order[0])
		b.order = b.order[1:]
	}
}

// run brings versions into force until the instance stops.
func (b *bodies) run() {
	for {
		select {
		case <-b.i.ctx.Done():
			return
		case <-b.kick:
		}
		for b.i.ctx.Err() == nil && !b.bring() {
			time.Sleep(bodyRetry)
		}
	}
}

// bring puts the newest version in force. It returns false if its body can't
// be had yet.
func (b *bodies) bring() bool {
	v := b.i.deps.Registry.View()
	want, ok := v.Journal.CurrentConfig()
	if !ok || want.Version <= v.ConfigVersion {
		return true
	}
	log := b.i.deps.Log.WithFields(logrus.Fields{"version": want.Version, "hash": want.Hash})
	ctx, cancel := context.WithTimeout(b.i.ctx, objectTimeout)
	defer cancel()
	body, err := b.fetch(ctx, want.Hash)
	if err != nil {
		log.WithError(err).Warn("configuration not read")
		return false
	}
	cfg, problems := bbrconfig.Parse(want.Hash, body)
	if len(problems) > 0 {
		// Only an older instance can meet this: the author's had checked it.
		log.WithField("problems", len(problems)).WithError(problems[0]).Error("configuration not understood: upgrade this instance")
		return true
	}
	b.i.deps.Registry.SetConfig(cfg, want.Version, want.Hash)
	b.i.mu.Lock()
	b.i.control.SetConfigVersion(want.Version)
	b.i.mu.Unlock()
	b.i.step(bbrcontrol.PoliciesChanged{Policies: cfg.FailoverPolicies(), LowestMaxAge: cfg.LeastAge()})
	b.i.quota.wake()
	log.WithField("groups", len(cfg.Groups)).Info("configuration in force")
	return true
}

// fetch takes a body from the cache, the object store or a peer.
func (b *bodies) fetch(ctx context.Context, hash string) ([]byte, error) {
	if body, ok := b.get(hash); ok {
		return body, nil
	}
	body, err := b.fromPeers(ctx, hash)
	if err != nil {
		body, err = b.i.deps.Bodies.Configuration(ctx, hash)
	}
	if err != nil {
		return nil, err
	}
	b.keep(hash, body)
	return body, nil
}

// fromPeers asks a few peers.
func (b *bodies) fromPeers(ctx context.Context, hash string) ([]byte, error) {
	err := errors.New("no peer is known")
	asked := 0
	for _, p := range b.i.deps.Registry.View().Journal.Instances {
		if p.ID == b.i.self.ID {
			continue
		}
		if asked++; asked > bodyPeers {
			break
		}
		var body []byte
		child, cancel := context.WithTimeout(ctx, exchangeTimeout)
		body, err = b.i.deps.Peers.ConfigurationBody(child, p.Address, hash)
		cancel()
		if err == nil && bbrconfig.Hash(body) == hash {
			return body, nil
		}
	}
	if err == nil {
		err = errors.New("peers sent a body with another hash")
	}
	return nil, err
}
