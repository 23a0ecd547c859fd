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
	mu          sync.Mutex
	rng         *rand.Rand
	types       []wire.MachineType
	poolSize    int            // machines of one pool
	poolSizes   map[string]int // of the pools of a type, if another
	listLag     time.Duration
	provisioned map[string][]wire.MachineID
	machines    map[wire.MachineID]*machine
	nextID      int
	failedZones map[wire.Zone]bool // zones in which nothing is to be had
	stuckBoots  int                // machines that are still to be rented and will never come up
	history     []snapshot
	boot        func(h wire.Instance) *Worker
	maxBootTime time.Duration                       // the longest time that a machine takes to come up
	address     func(machine wire.MachineID) string // where a machine is reached
}

type machine struct {
	wire.Instance
	provisionedAt time.Time
	worker        *Worker
}

type snapshot struct {
	at        time.Time
	instances []wire.Instance
}

// port of every worker; its host is the machine's name.
const port = ":9000"

// NewCloud makes a cloud whose machines become workers by boot.
func NewCloud(seed uint64, types []wire.MachineType, limit int, lag time.Duration, boot func(h wire.Instance) *Worker) *Cloud {
	return &Cloud{
		rng: rand.New(rand.NewPCG(seed, 8)), types: types, poolSize: limit, listLag: lag,
		provisioned: map[string][]wire.MachineID{}, machines: map[wire.MachineID]*machine{}, failedZones: map[wire.Zone]bool{}, boot: boot,
		maxBootTime: 20 * time.Second, address: func(machine wire.MachineID) string { return string(machine) + port },
	}
}

func (c *Cloud) provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, ok := c.provisioned[r.RequestID]; ok {
		return names, nil
	}
	in := 0
	for _, h := range c.machines {
		if h.MachineType == r.MachineType && h.Zone == r.Zone && h.Spot == r.Spot {
			in++
		}
	}
	limit, ok := c.poolSizes[r.MachineType]
	if !ok {
		limit = c.poolSize
	}
	if c.failedZones[r.Zone] {
		limit = 0
	}
	var names []wire.MachineID
	for range min(r.Count, limit-in) {
		id := wire.MachineID(fmt.Sprintf("i-%06d", c.nextID))
		c.nextID++
		h := &machine{Instance: wire.Instance{ID: id, Address: c.address(id), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, State: wire.InstanceStarting}, provisionedAt: time.Now()}
		c.machines[id] = h
		names = append(names, id)
		wait := time.Duration(c.rng.Int64N(int64(c.maxBootTime)))
		if c.stuckBoots > 0 {
			c.stuckBoots--
			continue
		}
		go func() {
			if !sleep(ctx, wait) {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.machines[id] == h && h.State == wire.InstanceStarting {
				h.State = wire.InstanceRunning
				h.worker = c.boot(h.Instance)
			}
		}()
	}
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.provisioned[r.RequestID] = names
	return names, nil
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
// reached. To be called before any is rented.
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

// Running lists the machines that run.
func (c *Cloud) Running() []wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Instance
	for _, id := range c.runningMachines() {
		out = append(out, c.machines[id].Instance)
	}
	return out
}

// RunningMachines names the machines that run.
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
