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

// Cloud simulates the cloud provider: it provisions machines and starts a worker on each.
type Cloud struct {
	mu           sync.Mutex
	rng          *rand.Rand
	types        []wire.MachineType
	poolSize     int                         // machines in the pool of each machine type, zone and price class
	poolSizes    map[string]int              // by machine type, instead of poolSize
	listLag      time.Duration               // about how far list lags
	provisioned  map[string][]wire.MachineID // by request ID
	machines     map[wire.MachineID]*machine
	nextID       int
	failedZones  map[wire.Zone]bool // zones without capacity
	stalledBoots int                // how many of the next machines never finish booting
	faultyBoots  map[wire.Zone]int  // how many of the next machines to come up in a zone are faulty
	history      []snapshot         // what list may return, oldest first
	boot         func(instance wire.Instance) *Worker
	maxBootTime  time.Duration                       // the longest time that a machine takes to boot
	address      func(machine wire.MachineID) string // returns the address of a machine
}

// machine is a provisioned machine and, once it has booted, its worker.
type machine struct {
	wire.Instance
	provisionedAt time.Time
	worker        *Worker
}

// snapshot is the list of machines as it was at a time.
type snapshot struct {
	at        time.Time
	instances []wire.Instance
}

// port is the port of every worker in the simulated network; the host of its address is the
// machine's ID.
const port = ":9000"

// NewCloud returns a cloud whose pools have poolSize machines each and whose list of machines lags
// by about listLag. boot starts the worker of an instance.
func NewCloud(seed uint64, types []wire.MachineType, poolSize int, listLag time.Duration, boot func(instance wire.Instance) *Worker) *Cloud {
	return &Cloud{
		rng: rand.New(rand.NewPCG(seed, 8)), types: types, poolSize: poolSize, listLag: listLag,
		provisioned: map[string][]wire.MachineID{}, machines: map[wire.MachineID]*machine{}, failedZones: map[wire.Zone]bool{},
		faultyBoots: map[wire.Zone]int{}, boot: boot,
		maxBootTime: 20 * time.Second, address: func(machine wire.MachineID) string { return string(machine) + port },
	}
}

// provision provisions up to r.Count machines, as many as the pool has left. A repeated request ID
// gets the machines of the first request.
func (c *Cloud) provision(ctx context.Context, r wire.ProvisionRequest) ([]wire.MachineID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.provisioned[r.RequestID]; ok {
		return ids, nil
	}
	var ids []wire.MachineID
	for range min(r.Count, c.capacityLeft(r)) {
		ids = append(ids, c.provisionOne(ctx, r))
	}
	if len(ids) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	c.provisioned[r.RequestID] = ids
	return ids, nil
}

// capacityLeft returns how many machines the pool of a request has left; the caller holds the lock.
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

// provisionOne provisions a machine, which boots unless StallBoots applies to it; the caller holds
// the lock.
func (c *Cloud) provisionOne(ctx context.Context, r wire.ProvisionRequest) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("i-%06d", c.nextID))
	c.nextID++
	m := &machine{
		Instance:      wire.Instance{ID: id, Address: c.address(id), MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot, State: wire.InstanceStarting},
		provisionedAt: time.Now(),
	}
	c.machines[id] = m
	bootTime := time.Duration(c.rng.Int64N(int64(c.maxBootTime)))
	if c.stalledBoots > 0 {
		c.stalledBoots--
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
			if c.faultyBoots[m.Zone] > 0 {
				c.faultyBoots[m.Zone]--
				m.worker.SetFaulty()
			}
		}
	}()
	return id
}

func (c *Cloud) delete(ids []wire.MachineID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if m := c.machines[id]; m != nil {
			if m.worker != nil {
				m.worker.Kill()
			}
			delete(c.machines, id)
		}
	}
	return nil
}

// list picks a random age below twice listLag and returns the newest snapshot that is at least that
// old, or no machines if there is none: the protocol allows the list to lag.
func (c *Cloud) list() ([]wire.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := snapshot{at: now}
	for _, m := range c.machines {
		instance := m.Instance
		instance.Age = wire.Seconds(now.Sub(m.provisionedAt).Seconds())
		s.instances = append(s.instances, instance)
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
	minAge := time.Duration(c.rng.Int64N(int64(2 * c.listLag)))
	for i := len(c.history) - 1; i >= 0; i-- {
		if now.Sub(c.history[i].at) >= minAge {
			return c.history[i].instances, nil
		}
	}
	return nil, nil
}

// SetBootTimeAndAddress sets the longest boot time and a function that returns the address of a
// machine. Call it before any machine is provisioned.
func (c *Cloud) SetBootTimeAndAddress(maxBootTime time.Duration, address func(machine wire.MachineID) string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxBootTime, c.address = maxBootTime, address
}

// SetPoolSizes sets the sizes of the pools by machine type; other types keep that of NewCloud.
func (c *Cloud) SetPoolSizes(sizes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolSizes = sizes
}

// ProvisionedMachines returns how many machines have been provisioned, including those that are gone.
func (c *Cloud) ProvisionedMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextID
}

// Running returns the running instances, sorted by ID.
func (c *Cloud) Running() []wire.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.Instance
	for _, id := range c.runningMachines() {
		out = append(out, c.machines[id].Instance)
	}
	return out
}

// RunningMachines returns the IDs of the running machines, sorted.
func (c *Cloud) RunningMachines() []wire.MachineID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningMachines()
}

func (c *Cloud) runningMachines() []wire.MachineID {
	var ids []wire.MachineID
	for id, m := range c.machines {
		if m.State == wire.InstanceRunning {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Cloud) worker(addr string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[wire.MachineID(strings.TrimSuffix(addr, port))]; m != nil {
		return m.worker
	}
	return nil
}
