package simulation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Names of the services in the network.
const (
	StoreHost = "state"
	CloudHost = "cloud"
)

// errNoAnswer is what a caller gets when a message is lost, late or partitioned.
var errNoAnswer = errors.New("no answer")

// Network decides the fate of each message.
type Network struct {
	mu                  sync.Mutex
	rng                 *rand.Rand
	loss                float64               // of requests and of answers
	duplication         float64               // of requests that arrive once more, late
	hostPartitions      map[string]*partition // by host
	linkPartitions      map[[2]string]*partition
	inboundPartitioned  map[string]bool          // hosts that receive nothing
	outboundPartitioned map[string]bool          // hosts whose own requests are lost
	maxExtraLatency     map[string]time.Duration // by host, of some of its answers
	latency             time.Duration
}

// partition separates a host from others until it is healed.
type partition struct {
	holdMessages bool
	healed       chan struct{}
}

// NewNetwork returns a network whose messages take a latency; the seed decides what is lost.
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
// holdMessages delivers messages when the partition heals; otherwise they are lost.
func (n *Network) Partition(host, other string, holdMessages bool) {
	n.Heal(host, other)
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &partition{holdMessages, make(chan struct{})}
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

// canSend tells whether requests of a host get out.
func (n *Network) canSend(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.outboundPartitioned[host]
}

// SetMaxExtraLatency has every third request to a host take longer, by up to so much.
func (n *Network) SetMaxExtraLatency(host string, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency[host] = most
}

// requestLatency draws how long a request to a host takes.
func (n *Network) requestLatency(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.latency
	if most := n.maxExtraLatency[host]; most > 0 && n.rng.IntN(3) == 0 {
		d += time.Duration(n.rng.Int64N(int64(most)))
	}
	return d
}

// canReceive tells whether messages to a host arrive.
func (n *Network) canReceive(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.inboundPartitioned[host]
}

// Heal ends a partition.
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

// HealAll ends every partition, and all extra latency.
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

// partitionBetween returns the partition between two hosts, nil if there is none.
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

// SetLossAndDuplication sets which fractions of messages are lost and delivered twice.
func (n *Network) SetLossAndDuplication(loss, duplication float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplication = loss, duplication
}

// isLost draws whether a message is lost.
func (n *Network) isLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.loss
}

// isDuplicated draws whether a request arrives twice.
func (n *Network) isDuplicated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.duplication
}

// duplicateDelay draws how late a duplicate arrives.
func (n *Network) duplicateDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(90 * time.Second)))
}

// sleep waits; false: the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request from one host to another, which executes f: perhaps never, late, or
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
