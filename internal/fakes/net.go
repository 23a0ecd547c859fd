package fakes

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Names of the regional services in the network.
const (
	StateHost = "state"
	CloudHost = "cloud"
)

// errNoAnswer is what a caller sees of anything lost, late or cut.
var errNoAnswer = errors.New("no answer")

// Net decides the fate of each message.
type Net struct {
	mu     sync.Mutex
	rng    *rand.Rand
	loss   float64         // of requests and of answers
	repeat float64         // of requests that arrive once more, late
	cuts   map[string]*cut // by host
	pairs  map[[2]string]*cut
	deaf   map[string]bool          // hosts that are heard, but hear nothing
	mute   map[string]bool          // hosts whose own requests reach nobody
	slow   map[string]time.Duration // hosts that answer some requests later, by up to so much
	delay  time.Duration
}

type cut struct {
	hold   bool
	healed chan struct{}
}

// NewNet makes a network with a seed.
func NewNet(seed uint64, delay time.Duration) *Net {
	return &Net{
		rng:   rand.New(rand.NewPCG(seed, 7)),
		cuts:  map[string]*cut{},
		pairs: map[[2]string]*cut{},
		deaf:  map[string]bool{},
		mute:  map[string]bool{},
		slow:  map[string]time.Duration{},
		delay: delay,
	}
}

// Cut separates a host from all others, or from one when other is not empty.
// With hold, messages are delivered when the cut heals.
func (n *Net) Cut(host, other string, hold bool) {
	n.Heal(host, other)
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &cut{hold, make(chan struct{})}
	if other == "" {
		n.cuts[host] = c
	} else {
		n.pairs[[2]string{host, other}] = c
	}
}

// Deafen lets a host's requests through, but neither answers nor requests to it.
func (n *Net) Deafen(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deaf[host] = true
}

// Mute loses a host's requests; others' requests to it are answered.
func (n *Net) Mute(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute[host] = true
}

func (n *Net) speaks(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.mute[host]
}

// Slow makes a host take up to so much longer for every third request.
func (n *Net) Slow(host string, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[host] = most
}

// pause is how long a request to a host takes.
func (n *Net) pause(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.delay
	if most := n.slow[host]; most > 0 && n.rng.IntN(3) == 0 {
		d += time.Duration(n.rng.Int64N(int64(most)))
	}
	return d
}

func (n *Net) hears(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.deaf[host]
}

// Heal ends a cut.
func (n *Net) Heal(host, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cuts[host]; c != nil && other == "" {
		close(c.healed)
		delete(n.cuts, host)
	}
	key := [2]string{host, other}
	if c := n.pairs[key]; c != nil {
		close(c.healed)
		delete(n.pairs, key)
	}
}

// HealAll ends every cut.
func (n *Net) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, c := range n.cuts {
		close(c.healed)
		delete(n.cuts, k)
	}
	for k, c := range n.pairs {
		close(c.healed)
		delete(n.pairs, k)
	}
	clear(n.deaf)
	clear(n.mute)
	clear(n.slow)
}

func (n *Net) between(a, b string) *cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range []*cut{n.cuts[a], n.cuts[b], n.pairs[[2]string{a, b}], n.pairs[[2]string{b, a}]} {
		if c != nil {
			return c
		}
	}
	return nil
}

// SetFates sets how many messages are lost, and how many arrive once more.
func (n *Net) SetFates(loss, repeat float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.repeat = loss, repeat
}

func (n *Net) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.loss
}

func (n *Net) repeated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < n.repeat
}

func (n *Net) late() time.Duration {
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
func send[T any](ctx context.Context, n *Net, from, to string, timeout time.Duration, f func() (T, error)) (T, error) {
	var zero T
	type result struct {
		v   T
		err error
	}
	if n.repeated() {
		go func() {
			if sleep(ctx, n.late()) {
				_, _ = f()
			}
		}()
	}
	ch := make(chan result, 1)
	go func() {
		if c := n.between(from, to); c != nil {
			if !c.hold {
				return
			}
			select {
			case <-c.healed:
			case <-ctx.Done():
				return
			}
		} else if n.lost() || !n.hears(to) || !n.speaks(from) {
			return
		}
		if !sleep(ctx, n.pause(to)) {
			return
		}
		v, err := f()
		if n.between(from, to) == nil && !n.lost() && n.hears(from) && sleep(ctx, n.delay) {
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
