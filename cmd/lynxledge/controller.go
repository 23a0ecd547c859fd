package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"lynxledge/internal/apiserver"
	"lynxledge/internal/autoscaler"
	"lynxledge/internal/cloud"
	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/heartbeat"
	"lynxledge/internal/overload"
	"lynxledge/internal/peer"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/recovery"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/standby"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/internal/zonecontrol"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// clients are a controller's connections to the store, the cloud, workers and other controllers.
type clients struct {
	store interface {
		statecache.Store
		election.LeaseClient
	}
	cloud   autoscaler.Cloud
	workers interface {
		scheduler.CommandSender
		autoscaler.Prober
	}
	dialPeer peer.Dial
}

// controller holds the actors of one process and what they share.
type controller struct {
	config      *config.Config
	incarnation uint64 // distinguishes this process from earlier ones of the same controller
	clients     clients
	storeLimits *storelimits.Tracker
	overload    *overload.Gauge

	cache      *statecache.Cache
	transport  *peer.Transport
	receiver   *heartbeat.Receiver
	scheduler  *scheduler.Scheduler
	apiServer  *apiserver.Server
	autoscaler *autoscaler.Autoscaler
	election   *election.Election
	catalog    *cloud.Catalog

	zoneController *zonecontrol.Controller // nil if zone recovery is off
	standby        *standby.Standby        // nil if early failover is off
}

// assemble starts a controller's actors, which stop when ctx ends, and then their inputs. Each
// actor is given references to actors started before it; an earlier actor calls a later one only
// through a callback.
func assemble(ctx context.Context, cfg *config.Config, incarnation uint64, clients clients) *controller {
	c := &controller{
		config:      cfg,
		incarnation: incarnation,
		clients:     clients,
		storeLimits: &storelimits.Tracker{},
		overload:    overload.Start(ctx, cfg.Params.Workers.HeartbeatInterval),
	}
	slog.Info("controller started", "member", cfg.MemberName, "zone", cfg.Zone, "incarnation", incarnation)
	c.startStateCache(ctx)
	c.startHeartbeatHandling(ctx)
	c.startControlActors(ctx)
	c.subscribeReachable()
	c.startElection(ctx)
	c.startCatalog(ctx)
	if cfg.Operator.ZoneRecovery != nil {
		c.startZoneRecovery(ctx)
	}
	if cfg.Operator.Standby != nil {
		c.standby = standby.Start(ctx, standby.Options{Config: cfg, Incarnation: incarnation, Cache: c.cache, Election: c.election})
	}
	c.run(ctx)
	return c
}

// startStateCache starts the cache of the store's records, which the other actors follow.
func (c *controller) startStateCache(ctx context.Context) {
	c.cache = statecache.Start(ctx, c.clients.store, cacheOptions(c.config, c.storeLimits))
}

// startHeartbeatHandling starts the actors that receive heartbeats: the transport those of other
// controllers, the receiver those of workers.
func (c *controller) startHeartbeatHandling(ctx context.Context) {
	c.transport = peer.Start(ctx, peer.Options{Config: c.config, Dial: c.clients.dialPeer, FreshAsOf: c.cache.FreshAsOf})
	c.receiver = heartbeat.Start(ctx, heartbeat.Options{Config: c.config, Cache: c.cache, Callbacks: heartbeat.Callbacks{
		FreshPeer:    c.transport.FreshPeer,
		Isolated:     c.transport.Isolated,
		SendEvidence: c.transport.SendEvidence,
		HandleEvidence: func(evidence reconcile.Evidence, wait time.Duration) {
			c.scheduler.HandleEvidence(evidence, wait) // c.scheduler is set after the receiver starts, before the first heartbeat
		},
	}})
}

// startControlActors starts the actors that decide on tasks, users' requests and machines.
func (c *controller) startControlActors(ctx context.Context) {
	c.scheduler = scheduler.Start(ctx, scheduler.Options{
		Config:            c.config,
		Incarnation:       c.incarnation,
		Cache:             c.cache,
		Workers:           c.clients.workers,
		OnCommandResponse: c.receiver.HandleCommandResponse,
		StoreLimits:       c.storeLimits,
		Overload:          c.overload,
	})
	c.apiServer = apiserver.Start(ctx, apiserver.Options{
		Config:      c.config,
		Cache:       c.cache,
		Heartbeats:  c.receiver,
		Peers:       c.transport,
		StoreLimits: c.storeLimits,
		Overload:    c.overload,
	})
	c.autoscaler = autoscaler.Start(ctx, autoscaler.Options{
		Config:          c.config,
		Incarnation:     c.incarnation,
		Cache:           c.cache,
		Cloud:           c.clients.cloud,
		Prober:          c.clients.workers,
		OnProbeResponse: c.receiver.HandleCommandResponse,
		StoreLimits:     c.storeLimits,
		Overload:        c.overload,
	})
}

// subscribeReachable reports the machines that send heartbeats to this controller to the other
// controllers and to the autoscaler.
func (c *controller) subscribeReachable() {
	c.receiver.OnReachable(c.transport.AnnounceReachable)
	c.receiver.OnReachable(c.autoscaler.MachinesReachable)
}

// startElection starts the actor that maintains this controller's membership and takes part in
// the leader election.
func (c *controller) startElection(ctx context.Context) {
	params, operator := c.config.Params, c.config.Operator
	c.election = election.Start(ctx, c.clients.store, c.cache, election.Options{
		MemberName:   c.config.MemberName,
		Incarnation:  c.incarnation,
		LeaseTTL:     params.Workers.Heartbeats(operator.MemberLeaseHeartbeats),
		Teams:        teamNames(params.Teams),
		MaxTxnOps:    params.Store.TxnOpsLimit(),
		ChunkTasks:   statecache.ChunkTasks(params.Store.MaxValueKB),
		Capabilities: capabilities(operator),
	})
}

// startCatalog starts the actor that polls the cloud's machine types, and subscribes their users.
func (c *controller) startCatalog(ctx context.Context) {
	c.catalog = cloud.StartCatalog(ctx, c.clients.cloud)
	c.catalog.Subscribe(c.apiServer.SetMachineTypes)
	c.catalog.Subscribe(c.scheduler.SetMachineTypes)
	c.catalog.Subscribe(c.autoscaler.SetMachineTypes)
}

// startZoneRecovery starts the actor that monitors the health of zones, and makes the scheduler
// and the autoscaler take that health into account.
func (c *controller) startZoneRecovery(ctx context.Context) {
	policy := zonehealth.PolicyOf(c.config)
	c.zoneController = zonecontrol.Start(ctx, zonecontrol.Options{
		Config:      c.config,
		Incarnation: c.incarnation,
		Cache:       c.cache,
		Scheduler:   c.scheduler,
		Policy:      policy,
	})
	c.scheduler.SetAdvisor(recovery.NewAdvisor(c.config, policy))
	c.autoscaler.SetZoneRecovery(recovery.NewScalingPolicy(c.config, policy), c.zoneController.PoolExhausted)
	c.receiver.OnReachable(func(machines []wire.MachineID) {
		c.zoneController.MachinesReachable(c.config.MemberName, machines)
	})
	c.catalog.Subscribe(c.zoneController.SetMachineTypes)
}

// run starts the inputs: machine types from the cloud, messages of other controllers, and records
// of the store.
func (c *controller) run(ctx context.Context) {
	go c.catalog.Run(ctx, 12*c.config.Operator.PlanningInterval, c.config.Params.Workers.HeartbeatInterval/3)
	c.transport.Run(ctx, c.peerHandlers())
	c.cache.Run()
}

// peerHandlers returns the handlers of other controllers' messages.
func (c *controller) peerHandlers() peer.Handlers {
	handlers := peer.Handlers{
		Reachable: func(member string, machines []wire.MachineID) {
			c.autoscaler.MachinesReachable(machines)
			if c.zoneController != nil {
				c.zoneController.MachinesReachable(member, machines)
			}
		},
		Evidence: func(evidence reconcile.Evidence) { c.scheduler.HandleEvidence(evidence, 0) },
	}
	if c.standby != nil {
		handlers.FailureDetection = &peer.FailureDetection{
			Incarnation:       c.incarnation,
			HeartbeatInterval: c.config.Operator.Standby.HeartbeatInterval(c.config.Params.Workers),
			Observer:          c.standby,
		}
	}
	return handlers
}

// peerHandler returns the HTTP handler of the peer address: it serves users' requests that other
// controllers forward and, to operators, the status of features that are enabled.
func (c *controller) peerHandler() http.Handler {
	router := chi.NewRouter()
	if c.zoneController != nil {
		router.Method(http.MethodGet, zonecontrol.StatusPath, c.zoneController)
	}
	if c.standby != nil {
		router.Method(http.MethodGet, standby.StatusPath, c.standby)
	}
	router.Mount("/", c.apiServer.Handler())
	return router
}

// capabilities returns the enabled features that this controller announces to other members.
func capabilities(operator config.OperatorSettings) []string {
	if operator.ZoneRecovery == nil {
		return nil
	}
	return []string{statecache.CapabilityZoneRecovery}
}

func teamNames(teams []config.TeamQuota) []wire.TeamName {
	var names []wire.TeamName
	for _, team := range teams {
		names = append(names, team.Name)
	}
	return names
}
