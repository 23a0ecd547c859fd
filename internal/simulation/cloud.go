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

// Cloud provisions machines, each with a worker.
type Cloud struct {
	mu          sync.Mutex
	rng         *rand.Rand
	types       []wire.MachineType
	poolSize    int            // of the pool of a machine type, zone and price class
	poolSizes   map[string]int // by machine type, where it is another
	listLag     time.Duration
	provisioned map[string][]wire.MachineID
	machines    map[wire.MachineID]*machine
	nextID      int
	failedZones map[wire.Zone]bool // zones without capacity
	stuckBoots  int                // how many of the next machines never come up
	history     []snapshot
	boot        func(instance wire.Instance) *Worker
	maxBootTime time.Duration                       // the longest time that a machine takes to come up
	address     func(machine wire.MachineID) string // where a machine is reached
}

// machine is a machine and, once it has booted, its worker.
type machine struct {
	wire.Instance
	provisionedAt time.Time
	worker        *Worker
}

// snapshot is the list of machines at a time.
type snapshot struct {
	at        time.Time
	instances []wire.Instance
}

// port is that of every worker; the host of its address is the machine's name.
const port = ":9000"

// NewCloud returns a cloud with pools of one size, whose list of machines lags behind. boot starts
// the worker of an instance.
func NewCloud(seed uint64, types []wire.MachineType, poolSize int, listLag time.Duration, boot func(instance wire.Instance) *Worker) *Cloud {
	return &Cloud{
		rng: rand.New(rand.NewPCG(seed, 8)), types: types, poolSize: poolSize, listLag: listLag,
		provisioned: map[string][]wire.MachineID{}, machines: map[wire.MachineID]*machine{}, failedZones: map[wire.Zone]bool{}, boot: boot,
		maxBootTime: 20 * time.Second, address: func(machine wire.MachineID) string { return string(machine) + port },
	}
}

// provision provisions machines, as many as their pool has left. A request of the same id gets
// the same answer.
func (c *Cloud) provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.provisioned[r.RequestID]; ok {
		return names, nil
	}
	var names []wire.MachineID
	for range min(r.Count, c.capacityLeft(r)) {
		names = append(names, c.provisionOne(ctx, r))
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.provisioned[r.RequestID] = names
	return names, nil
}

// capacityLeft is how many machines the pool of a request has left; the caller holds the lock.
func (c *Cloud) capacityLeft(r wire.ProvisionRequest) int {
	inUse := 0
	for _, m := range c.machines {
		if m.MachineType == r.MachineType && m.Zone == r.Zone && m.Spot == r.Spot {
			inUse++
		}
	}
	size, ok := c.poolSizes[r.MachineType]
	if !ok {
		size = c.poolSize
	}
	if c.failedZones[r.Zone] {
		size = 0
	}
	return size - inUse
}

// provisionOne provisions a machine, which boots unless it is one that never comes up; the caller
// holds the lock.
func (c *Cloud) provisionOne(ctx context.Context, r wire.ProvisionRequest) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("i-%06d", c.nextID))
	c.nextID++
	m := &machine{
		Instance:      wire.Instance{ID: id, Address: c.address(id), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, State: wire.InstanceStarting},
		provisionedAt: time.Now(),
	}
	c.machines[id] = m
	bootTime := time.Duration(c.rng.Int64N(int64(c.maxBootTime)))
	if c.stuckBoots > 0 {
		c.stuckBoots--
		return id
	}
	go func() {
		if !sleep(ctx, bootTime) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.machines[id] == m && m.State == wire.InstanceStarting {
			m.State = wire.InstanceRunning
			m.worker = c.boot(m.Instance)
		}
	}()
	return id
}

func (c *Cloud) delete(names []wire.MachineID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		if h := c.machines[n]; h != nil {
			if h.worker != nil {
				h.worker.Kill()
			}
			delete(c.machines, n)
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
	for _, h := range c.machines {
		e := h.Instance
		e.Age = wire.Seconds(now.Sub(h.provisionedAt).Seconds())
		s.instances = append(s.instances, e)
	}
	slices.SortFunc(s.instances, func(a, b wire.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for len(c.history) > 0 && now.Sub(c.history[0].at) > 3*c.listLag {
		c.history = c.history[1:]
	}
	c.history = append(c.history, s)
	back := time.Duration(c.rng.Int64N(int64(2 * c.listLag)))
	for i := len(c.history) - 1; i >= 0; i-- {
		if now.Sub(c.history[i].at) >= back {
			return c.history[i].instances, nil
		}
	}
	return nil, nil
}

// SetBootTimeAndAddress sets the longest time that machines take to come up, and where each is
// reached. To be called before any is provisioned.
func (c *Cloud) SetBootTimeAndAddress(bootMax time.Duration, address func(machine wire.MachineID) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxBootTime, c.address = bootMax, address
}

// SetPoolSizes sets how many machines the pools of each type have.
func (c *Cloud) SetPoolSizes(limits map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolSizes = limits
}

// Running lists the instances that run.
func (c *Cloud) Running() []wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Instance
	for _, id := range c.runningMachines() {
		out = append(out, c.machines[id].Instance)
	}
	return out
}

// RunningMachines names the machines that run, in order.
func (c *Cloud) RunningMachines() []wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningMachines()
}

func (c *Cloud) runningMachines() []wire.MachineID {
	var up []wire.MachineID
	for id, h := range c.machines {
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
	if h := c.machines[wire.MachineID(strings.TrimSuffix(addr, port))]; h != nil {
		return h.worker
	}
	return nil
}
