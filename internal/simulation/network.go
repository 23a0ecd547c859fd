package simulation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Names of the regional services in the network.
const (
	StoreHost = "state"
	CloudHost = "cloud"
)

// errNoAnswer is what a caller sees of anything lost, late or cut.
var errNoAnswer = errors.New("no answer")

// Network decides the fate of each message.
type Network struct {
	mu                  sync.Mutex
	rng                 *rand.Rand
	loss                float64               // of requests and of answers
	duplication         float64               // of requests that arrive once more, late
	hostPartitions      map[string]*partition // by host
	linkPartitions      map[[2]string]*partition
	inboundPartitioned  map[string]bool          // hosts that are heard, but hear nothing
	outboundPartitioned map[string]bool          // hosts whose own requests reach nobody
	maxExtraLatency     map[string]time.Duration // hosts that answer some requests later, by up to so much
	latency             time.Duration
}

type partition struct {
	holdMessages bool
	healed       chan struct{}
}

// NewNetwork makes a network with a seed.
func NewNetwork(seed uint64, delay time.Duration) *Network {
	return &Network{
		rng:                 rand.New(rand.NewPCG(seed, 7)),
		hostPartitions:      map[string]*partition{},
		linkPartitions:      map[[2]string]*partition{},
		inboundPartitioned:  map[string]bool{},
		outboundPartitioned: map[string]bool{},
		maxExtraLatency:     map[string]time.Duration{},
		latency:             delay,
	}
}

// Partition separates a host from all others, or from one when other is not empty.
// With hold, messages are delivered when the cut heals.
func (n *Network) Partition(host, other string, hold bool) {
	n.Heal(host, other)
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &partition{hold, make(chan struct{})}
	if other == "" {
		n.hostPartitions[host] = c
	} else {
		n.linkPartitions[[2]string{host, other}] = c
	}
}

// PartitionInbound lets a host's requests through, but neither answers nor requests to it.
func (n *Network) PartitionInbound(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundPartitioned[host] = true
}

// PartitionOutbound loses a host's requests; others' requests to it are answered.
func (n *Network) PartitionOutbound(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outboundPartitioned[host] = true
}

func (n *Network) canSend(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.outboundPartitioned[host]
}

// SetMaxExtraLatency makes a host take up to so much longer for every third request.
func (n *Network) SetMaxExtraLatency(host string, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency[host] = most
}

// requestLatency is how long a request to a host takes.
func (n *Network) requestLatency(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.latency
	if most := n.maxExtraLatency[host]; most > 0 && n.rng.IntN(3) == 0 {
		d += time.Duration(n.rng.Int64N(int64(most)))
	}
	return d
}

func (n *Network) canReceive(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.inboundPartitioned[host]
}

// Heal ends a cut.
func (n *Network) Heal(host, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.hostPartitions[host]; c != nil && other == "" {
		close(c.healed)
		delete(n.hostPartitions, host)
	}
	key := [2]string{host, other}
	if c := n.linkPartitions[key]; c != nil {
		close(c.healed)
		delete(n.linkPartitions, key)
	}
}

// HealAll ends every cut.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, c := range n.hostPartitions {
		close(c.healed)
		delete(n.hostPartitions, k)
	}
	for k, c := range n.linkPartitions {
		close(c.healed)
		delete(n.linkPartitions, k)
	}
	clear(n.inboundPartitioned)
	clear(n.outboundPartitioned)
	clear(n.maxExtraLatency)
}

func (n *Network) partitionBetween(a, b string) *partition {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range []*partition{n.hostPartitions[a], n.hostPartitions[b], n.linkPartitions[[2]string{a, b}], n.linkPartitions[[2]string{b, a}]} {
		if c != nil {
			return c
		}
	}
	return nil
}

// SetLossAndDuplication sets how many messages are lost, and how many arrive once more.
func (n *Network) SetLossAndDuplication(loss, repeat float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplication = loss, repeat
}

func (n *Network) isLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.loss
}

func (n *Network) isDuplicated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.duplication
}

func (n *Network) duplicateDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(90 * time.Second)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send carries out f at host "to" for host "from": perhaps never, late, or
// twice. The caller learns only whether an answer came in time.
func send[T any](ctx context.Context, n *Network, from, to string, timeout time.Duration, f func() (T, error)) (T, error) {
	var zero T
	type result struct {
		v   T
		err error
	}
	if n.isDuplicated() {
		go func() {
			if sleep(ctx, n.duplicateDelay()) {
				_, _ = f()
			}
		}()
	}
	ch := make(chan result, 1)
	go func() {
		if c := n.partitionBetween(from, to); c != nil {
			if !c.holdMessages {
				return
			}
			select {
			case <-c.healed:
			case <-ctx.Done():
				return
			}
		} else if n.isLost() || !n.canReceive(to) || !n.canSend(from) {
			return
		}
		if !sleep(ctx, n.requestLatency(to)) {
			return
		}
		v, err := f()
		if n.partitionBetween(from, to) == nil && !n.isLost() && n.canReceive(from) && sleep(ctx, n.latency) {
			ch <- result{v, err}
		}
	}()
	select {
	case r := <-ch:
		return r.v, r.err
	case <-time.After(timeout):
		return zero, errNoAnswer
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
