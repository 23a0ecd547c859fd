package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lynxledge/internal/cloud"
	"lynxledge/wire"
)

// Cloud rents workers.
type Cloud struct {
	mu      sync.Mutex
	rng     *rand.Rand
	types   []wire.MachineType
	limit   int            // machines of one pool
	limits  map[string]int // of the pools of a type, if another
	lag     time.Duration
	hires   map[string][]wire.MachineID
	hosts   map[wire.MachineID]*host
	next    int
	closed  map[wire.Zone]bool // zones in which nothing is to be had
	stuck   int                // machines that are still to be rented and will never come up
	history []snapshot
	boot    func(h wire.Instance) *Worker
	bootMax time.Duration                       // the longest time that a machine takes to come up
	address func(machine wire.MachineID) string // where a machine is reached
}

type host struct {
	wire.Instance
	rented time.Time
	worker *Worker
}

type snapshot struct {
	at    time.Time
	hosts []wire.Instance
}

// port of every worker; its host is the machine's name.
const port = ":9000"

// NewCloud makes a cloud whose machines become workers by boot.
func NewCloud(seed uint64, types []wire.MachineType, limit int, lag time.Duration, boot func(h wire.Instance) *Worker) *Cloud {
	return &Cloud{
		rng: rand.New(rand.NewPCG(seed, 8)), types: types, limit: limit, lag: lag,
		hires: map[string][]wire.MachineID{}, hosts: map[wire.MachineID]*host{}, closed: map[wire.Zone]bool{}, boot: boot,
		bootMax: 20 * time.Second, address: func(machine wire.MachineID) string { return string(machine) + port },
	}
}

func (c *Cloud) hire(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.hires[r.RequestID]; ok {
		return names, nil
	}
	in := 0
	for _, h := range c.hosts {
		if h.MachineType == r.MachineType && h.Zone == r.Zone && h.Spot == r.Spot {
			in++
		}
	}
	limit, ok := c.limits[r.MachineType]
	if !ok {
		limit = c.limit
	}
	if c.closed[r.Zone] {
		limit = 0
	}
	var names []wire.MachineID
	for range min(r.Count, limit-in) {
		id := wire.MachineID(fmt.Sprintf("i-%06d", c.next))
		c.next++
		h := &host{Instance: wire.Instance{ID: id, Address: c.address(id), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, State: wire.InstanceStarting}, rented: time.Now()}
		c.hosts[id] = h
		names = append(names, id)
		wait := time.Duration(c.rng.Int64N(int64(c.bootMax)))
		if c.stuck > 0 {
			c.stuck--
			continue
		}
		go func() {
			if !sleep(ctx, wait) {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.hosts[id] == h && h.State == wire.InstanceStarting {
				h.State = wire.InstanceRunning
				h.worker = c.boot(h.Instance)
			}
		}()
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.hires[r.RequestID] = names
	return names, nil
}

func (c *Cloud) delete(names []wire.MachineID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		if h := c.hosts[n]; h != nil {
			if h.worker != nil {
				h.worker.Kill()
			}
			delete(c.hosts, n)
		}
	}
	return nil
}

// list answers as of some time ago, as the protocol allows.
func (c *Cloud) list() ([]wire.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := snapshot{at: now}
	for _, h := range c.hosts {
		e := h.Instance
		e.Age = wire.Seconds(now.Sub(h.rented).Seconds())
		s.hosts = append(s.hosts, e)
	}
	slices.SortFunc(s.hosts, func(a, b wire.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for len(c.history) > 0 && now.Sub(c.history[0].at) > 3*c.lag {
		c.history = c.history[1:]
	}
	c.history = append(c.history, s)
	back := time.Duration(c.rng.Int64N(int64(2 * c.lag)))
	for i := len(c.history) - 1; i >= 0; i-- {
		if now.Sub(c.history[i].at) >= back {
			return c.history[i].hosts, nil
		}
	}
	return nil, nil
}

// SetMachines sets the longest time that machines take to come up, and where each is
// reached. To be called before any is rented.
func (c *Cloud) SetMachines(bootMax time.Duration, address func(machine wire.MachineID) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootMax, c.address = bootMax, address
}

// SetLimits sets how many machines the pools of each type have.
func (c *Cloud) SetLimits(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// StickBoots makes the next n machines never come up.
func (c *Cloud) StickBoots(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stuck = n
}

// FailMachine stops the i-th machine that is up, with everything on it; taken: the
// cloud takes it back, and it is not listed any more.
func (c *Cloud) FailMachine(i int, taken bool) wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	up := c.up()
	if len(up) == 0 {
		return ""
	}
	h := c.hosts[up[i%len(up)]]
	h.worker.Kill()
	h.State = wire.InstanceFailed
	if taken {
		delete(c.hosts, h.ID)
	}
	return h.ID
}

// FailZone stops every machine of a zone, and rents none there until the zone is opened
// again.
func (c *Cloud) FailZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[zone] = true
	for _, h := range c.hosts {
		if h.Zone != zone {
			continue
		}
		if h.worker != nil {
			h.worker.Kill()
		}
		h.State = wire.InstanceFailed
	}
}

// OpenZone rents machines of a zone again.
func (c *Cloud) OpenZone(zone wire.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closed, zone)
}

// Hang makes a machine stand still for a while.
func (c *Cloud) Hang(id wire.MachineID, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil && h.worker != nil {
		h.worker.Hang(d)
	}
}

// FastRestart restarts a machine at once.
func (c *Cloud) FastRestart(id wire.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h != nil && h.worker != nil {
		h.worker.FastRestart()
	}
}

// NotifyPreemption gives a machine notice that it will be taken, which happens then.
func (c *Cloud) NotifyPreemption(id wire.MachineID, notice wire.Seconds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[id]
	if h == nil || h.worker == nil {
		return
	}
	h.worker.NotifyPreemption(notice)
	time.AfterFunc(notice.Duration(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.hosts[id] == h {
			h.worker.Kill()
			delete(c.hosts, id)
		}
	})
}

// Running lists the machines that run.
func (c *Cloud) Running() []wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Instance
	for _, id := range c.up() {
		out = append(out, c.hosts[id].Instance)
	}
	return out
}

// Up names the machines that run.
func (c *Cloud) Up() []wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up()
}

func (c *Cloud) up() []wire.MachineID {
	var up []wire.MachineID
	for id, h := range c.hosts {
		if h.State == wire.InstanceRunning {
			up = append(up, id)
		}
	}
	slices.Sort(up)
	return up
}

func (c *Cloud) worker(addr string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[wire.MachineID(strings.TrimSuffix(addr, port))]; h != nil {
		return h.worker
	}
	return nil
}

// CloudConn is one controller's connection to the cloud.
type CloudConn struct {
	Cloud   *Cloud
	Net     *Network
	Node    string
	Timeout time.Duration
	World   context.Context // machines outlive the controllers
}

// MachineTypes and the other methods are what the controllers use.
func (c *CloudConn) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	return send(ctx, c.Net, c.Node, CloudHost, c.Timeout, func() ([]wire.MachineType, error) { return c.Cloud.types, nil })
}

// Provision rents.
func (c *CloudConn) Provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	return send(ctx, c.Net, c.Node, CloudHost, c.Timeout, func() ([]wire.MachineID, error) { return c.Cloud.hire(c.World, r) })
}

// Delete returns machines.
func (c *CloudConn) Delete(ctx context.Context, names []wire.MachineID) error {
	_, err := send(ctx, c.Net, c.Node, CloudHost, c.Timeout, func() (struct{}, error) { return struct{}{}, c.Cloud.delete(names) })
	return err
}

// List reads the machines.
func (c *CloudConn) List(ctx context.Context) ([]wire.Instance, error) {
	return send(ctx, c.Net, c.Node, CloudHost, c.Timeout, c.Cloud.list)
}
