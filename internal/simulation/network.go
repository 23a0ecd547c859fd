package simulation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Hosts of the simulated services, besides the controllers and the machines.
const (
	StoreHost = "state"
	CloudHost = "cloud"
)

// ErrNoResponse is returned when a request or its response is lost, late or held by a partition.
var ErrNoResponse = errors.New("no response")

// Network simulates the network between hosts: latency, loss and duplication of messages, and
// partitions.
type Network struct {
	mu                  sync.Mutex
	rng                 *rand.Rand
	loss                float64                  // probability, for a request and for a response
	duplication         float64                  // probability that a request is delivered a second time, later
	hostPartitions      map[string]*partition    // by host, which is separated from all others
	linkPartitions      map[[2]string]*partition // by pair of hosts, in the order given to Partition
	inboundPartitioned  map[string]bool          // hosts that receive neither requests nor responses
	outboundPartitioned map[string]bool          // hosts whose own requests are lost, while their responses arrive
	maxExtraLatency     map[string]time.Duration // by host, of some of the requests to it
	latency             time.Duration            // of every message
}

// partition separates a host from one or all others until it is healed.
type partition struct {
	holdMessages bool
	healed       chan struct{} // closed when the partition ends
}

// NewNetwork returns a network in which every message takes latency. The seed determines which
// messages are lost, duplicated or delayed further.
func NewNetwork(seed uint64, latency time.Duration) *Network {
	return &Network{
		rng:                 rand.New(rand.NewPCG(seed, 7)),
		hostPartitions:      map[string]*partition{},
		linkPartitions:      map[[2]string]*partition{},
		inboundPartitioned:  map[string]bool{},
		outboundPartitioned: map[string]bool{},
		maxExtraLatency:     map[string]time.Duration{},
		latency:             latency,
	}
}

// Partition separates a host from all others, or from one when other is not empty. With
// holdMessages, requests sent meanwhile are delivered when the partition heals; without it they
// are lost. Responses that are due meanwhile are lost in both cases.
func (n *Network) Partition(host, other string, holdMessages bool) {
	n.Heal(host, other)
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &partition{holdMessages, make(chan struct{})}
	if other == "" {
		n.hostPartitions[host] = p
	} else {
		n.linkPartitions[[2]string{host, other}] = p
	}
}

// PartitionInbound drops the requests and responses that are sent to a host; its own requests
// still arrive.
func (n *Network) PartitionInbound(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundPartitioned[host] = true
}

// PartitionOutbound drops the requests that a host sends; requests to it still get a response.
func (n *Network) PartitionOutbound(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outboundPartitioned[host] = true
}

// canSend reports whether requests from a host are sent: PartitionOutbound stops them.
func (n *Network) canSend(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.outboundPartitioned[host]
}

// SetMaxExtraLatency delays a random third of the requests to a host further, by up to maxExtra
// each.
func (n *Network) SetMaxExtraLatency(host string, maxExtra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxExtraLatency[host] = maxExtra
}

// requestLatency returns the latency of a request to a host, with any random extra latency.
func (n *Network) requestLatency(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.latency
	if maxExtra := n.maxExtraLatency[host]; maxExtra > 0 && n.rng.IntN(3) == 0 {
		d += time.Duration(n.rng.Int64N(int64(maxExtra)))
	}
	return d
}

// canReceive reports whether messages to a host arrive: PartitionInbound stops them.
func (n *Network) canReceive(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.inboundPartitioned[host]
}

// Heal ends the partition that Partition made for the same hosts.
func (n *Network) Heal(host, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.hostPartitions[host]; p != nil && other == "" {
		close(p.healed)
		delete(n.hostPartitions, host)
	}
	key := [2]string{host, other}
	if p := n.linkPartitions[key]; p != nil {
		close(p.healed)
		delete(n.linkPartitions, key)
	}
}

// HealAll ends every partition, one-way ones included, and all extra latency.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, p := range n.hostPartitions {
		close(p.healed)
		delete(n.hostPartitions, k)
	}
	for k, p := range n.linkPartitions {
		close(p.healed)
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
	for _, p := range []*partition{n.hostPartitions[a], n.hostPartitions[b], n.linkPartitions[[2]string{a, b}], n.linkPartitions[[2]string{b, a}]} {
		if p != nil {
			return p
		}
	}
	return nil
}

// SetLossAndDuplication sets the probabilities that a message is lost and that a request is
// delivered twice.
func (n *Network) SetLossAndDuplication(loss, duplication float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplication = loss, duplication
}

// isLost decides at random whether a message is lost.
func (n *Network) isLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.loss
}

// isDuplicated decides at random whether a request is delivered twice.
func (n *Network) isDuplicated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.duplication
}

// duplicateDelay returns a random delay for the second delivery of a request.
func (n *Network) duplicateDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(90 * time.Second)))
}

// sleep waits for d; it returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends a request from one host to another, where f handles it; the network may lose, delay or
// duplicate it. A duplicate is delivered even if a partition separates the hosts. The caller gets
// ErrNoResponse unless the response arrives within timeout.
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
		if p := n.partitionBetween(from, to); p != nil {
			if !p.holdMessages {
				return
			}
			select {
			case <-p.healed:
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
		return zero, ErrNoResponse
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
