package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// cluster runs this program's controllers in one process, with the store, the cloud, the workers
// and the network simulated.
type cluster struct {
	ctx            context.Context
	cfg            *config.Config
	invariants     *simulation.InvariantChecker
	store          *simulation.Store
	network        *simulation.Network
	cloud          *simulation.Cloud
	connections    *simulation.Connections
	members        []string                      // names of all controllers
	memberZones    []wire.Zone                   // assigned to the members round-robin
	running        map[string]context.CancelFunc // of the running members, by name
	handlers       handlerTable
	peerHandlers   map[string]http.Handler   // of the peer addresses, by member
	actors         map[string][]*actor.Actor // by member
	rng            *rand.Rand
	jobCount       int
	submitted      []*wire.Job
	machineTypes   []wire.MachineType
	upcomingLimits *config.UpcomingStoreLimits // in the settings of controllers started from now on; nil: none
}

// lockedSource is a source of random numbers for concurrent use: by the test's goroutine and by
// those in which users send requests as a job completes.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 returns the next random number.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}

// newCluster starts a cluster of controllers. adjust, if not nil, changes the settings.
func newCluster(ctx context.Context, seed uint64, spec clusterSpec, adjust func(*config.Params)) *cluster {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	cfg := parseSettings(spec, adjust)
	c := &cluster{
		ctx:          ctx,
		cfg:          cfg,
		invariants:   simulation.NewInvariantChecker(cfg.Params),
		store:        simulation.NewStore(),
		network:      simulation.NewNetwork(seed, 5*time.Millisecond),
		memberZones:  spec.memberZones,
		running:      map[string]context.CancelFunc{},
		peerHandlers: map[string]http.Handler{},
		actors:       map[string][]*actor.Actor{},
		rng:          rand.New(&lockedSource{source: rand.NewPCG(seed, 9)}),
		machineTypes: spec.machineTypes,
	}
	c.connections = simulation.NewConnections(c.network)
	for i := range spec.members {
		c.members = append(c.members, fmt.Sprintf("n%d", i))
	}
	options := c.workerOptions()
	c.cloud = simulation.NewCloud(seed, spec.machineTypes, spec.poolSize, 10*time.Second, func(instance wire.Instance) *simulation.Worker {
		firstMember := (seed + uint64(instance.ID[len(instance.ID)-1])) % uint64(len(c.members))
		return simulation.NewWorker(ctx, instance, options, int(firstMember))
	})
	c.cloud.SetPoolSizes(spec.poolSizes)
	for _, member := range c.members {
		c.start(member)
	}
	return c
}

func parseSettings(spec clusterSpec, adjust func(*config.Params)) *config.Config {
	cfg, err := config.Parse(settings)
	if err != nil {
		panic(err)
	}
	cfg.Operator.BootLag = 20 * time.Second
	if adjust != nil {
		adjust(&cfg.Params)
	}
	if spec.operatorSettings != nil {
		spec.operatorSettings(&cfg.Operator)
	}
	return cfg
}

// workerOptions returns the options of workers that send heartbeats to the controllers' handlers.
func (c *cluster) workerOptions() simulation.WorkerOptions {
	return simulation.WorkerOptions{
		HeartbeatInterval: c.cfg.Params.Workers.HeartbeatInterval,
		LeaseDuration:     c.cfg.Params.Workers.LeaseDuration,
		Members:           c.members,
		Network:           c.network,
		Checker:           c.invariants,
		ImageFetchTime:    time.Second,
		PostHeartbeat: func(member string) simulation.HeartbeatPoster {
			handler := c.handlers.handler(member)
			if handler == nil {
				return nil
			}
			return func(_ context.Context, heartbeat *wire.Heartbeat) (wire.HeartbeatResponse, string, bool) {
				return sendHeartbeat(handler, heartbeat)
			}
		},
	}
}

// start starts a controller.
func (c *cluster) start(member string) {
	ctx, cancel := context.WithCancel(c.ctx)
	cfg := c.memberConfig(member)
	controller := assemble(ctx, cfg, c.rng.Uint64()>>1, clients{
		store:    &simulation.StoreConn{Store: c.store, Network: c.network, Member: member, Timeout: 1500 * time.Millisecond},
		cloud:    &simulation.CloudConn{Cloud: c.cloud, Network: c.network, Member: member, Timeout: 4 * time.Second, MachineContext: c.ctx},
		workers:  &simulation.WorkerConn{Cloud: c.cloud, Network: c.network, Member: member, Timeout: 3 * time.Second},
		dialPeer: c.connections.Dial(member),
	})
	c.peerHandlers[member] = controller.peerHandler()
	go controller.transport.Serve(ctx, c.connections.Listen(member, cfg.PeerListenAddress), c.peerHandlers[member])
	c.actors[member] = controller.actors()
	c.running[member] = cancel
	c.handlers.set(member, controller.apiServer.Handler())
}

// memberConfig returns the configuration of one controller.
func (c *cluster) memberConfig(member string) *config.Config {
	cfg := *c.cfg
	cfg.Params.Store.Upcoming = c.upcomingLimits
	cfg.MemberName, cfg.PeerListenAddress = member, member+":8081"
	if len(c.memberZones) > 0 {
		cfg.Zone = c.zoneOf(member)
	}
	for _, other := range c.members {
		if other != member {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: other, Zone: c.zoneOf(other), Address: other + ":8081"})
		}
	}
	return &cfg
}

// actors returns the actors of a controller.
func (c *controller) actors() []*actor.Actor {
	actors := []*actor.Actor{c.cache.Actor, c.transport.Actor, c.receiver.Actor, c.scheduler.Actor, c.apiServer.Actor, c.autoscaler.Actor, c.election.Actor, c.catalog.Actor}
	if c.zoneController != nil {
		actors = append(actors, c.zoneController.Actor)
	}
	if c.standby != nil {
		actors = append(actors, c.standby.Actor)
	}
	return actors
}

// zoneOf returns the zone of a controller, or "" if the cluster assigns none.
func (c *cluster) zoneOf(member string) wire.Zone {
	if len(c.memberZones) == 0 {
		return ""
	}
	return c.memberZones[slices.Index(c.members, member)%len(c.memberZones)]
}

// shutdown stops all controllers, and waits for what is still in progress to end.
func (c *cluster) shutdown() {
	c.crashAll()
	time.Sleep(2 * time.Minute)
}
