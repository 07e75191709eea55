package controller

import (
	"context"
	"log/slog"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/config"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/platform/cloud"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
)

// environment is what every component needs and none changes: settings, logger, clock, clients of the outside world,
// links to the other controllers, counters. All of it may be used by any goroutine.
type environment struct {
	network   host.Net
	settings  *config.Settings
	options   Options
	log       *slog.Logger
	startTime time.Time // zero of model.Time

	store  *kvstore.Client
	oplog  *oplog.Log
	cloud  *cloud.Client
	agents *agent.Client

	links       map[string]*rpc.Link // to the other controllers, by node
	traffic     rpc.Traffic          // bytes to and from them
	connLimiter *api.ConnLimiter     // of connections from users and agents
	metrics     *metrics.Registry

	// ctx ends when the controller stops. Run sets it before it starts any goroutine. It bounds work that belongs to
	// no single call: what the loop starts, and reads that several requests share.
	ctx context.Context
}

// Shares of the limits that the settings give for the whole service or for a process.
const (
	kvRequestShare     = 0.95 // of a controller's part of the key-value store's requests
	minKVRequestRate   = 4    // requests a second, in any case
	cloudRequestShare  = 0.8
	minAgentConns      = 32
	minIncomingConns   = 32
	userConnsTenths    = 6 // of the sockets, for incoming connections
	agentSocketDivisor = 3 // of the sockets, for commands to and probes of agents
)

// newEnvironment makes the clients of the outside world, each with its part of the limits.
func newEnvironment(
	network host.Net, settings *config.Settings, options Options, logger *slog.Logger,
) *environment {
	params := &settings.Params
	controllers := float64(len(settings.Members) + 1)
	sockets := params.Limits.MaxSockets
	storeRate := max(minKVRequestRate, params.KVStore.RPS/controllers*kvRequestShare)
	env := &environment{
		network:   network,
		settings:  settings,
		options:   options,
		log:       logger,
		startTime: time.Now(),
		store:     kvstore.New(network, settings.Endpoints.KVStore, storeRate),
		cloud:     cloud.New(network, settings.Endpoints.Cloud, params.Cloud.RPS*cloudRequestShare),
		agents:    agent.New(network, ordersTimeout, max(minAgentConns, sockets/agentSocketDivisor)),
		metrics:   metrics.New(api.RequestKinds...),
		links:     map[string]*rpc.Link{},
		// Sockets: six parts in ten for incoming connections, a third for commands to and probes of agents, the rest
		// for the key-value store, the cloud, the other controllers and what is just closing.
		connLimiter: &api.ConnLimiter{MaxConns: max(minIncomingConns, sockets*userConnsTenths/10)},
	}
	env.oplog = oplog.New(env.store, params.KVStore.WriteRPS, params.KVStore.ValueKB, params.KVStore.TxnOps, logger)
	for _, member := range settings.Members {
		link := rpc.NewLink(network, member.Node, member.Addr, logger)
		link.Traffic = &env.traffic
		env.links[member.Node] = link
	}
	return env
}

// close closes the clients' idle connections.
func (env *environment) close() {
	env.store.Close()
	env.cloud.Close()
	env.agents.Close()
}

// now is the controller's clock: the time since its start.
func (env *environment) now() model.Time { return time.Since(env.startTime) }

// probeAfter is after how long without a heartbeat a machine is probed: the longest interval between two heartbeats,
// and some time on the way.
func (env *environment) probeAfter() time.Duration {
	return config.Seconds(env.settings.Params.Workers.HeartbeatS*1.25 + 0.75)
}

// probeGrace is how long after that a probe may go unanswered.
const probeGrace = 3 * time.Second

// silentAfter is after how long without a heartbeat, and without an answer to probes, a machine counts as failed.
func (env *environment) silentAfter() time.Duration { return env.probeAfter() + probeGrace }

// leaseDuration is the duration of an agent's lease.
func (env *environment) leaseDuration() model.Time {
	return config.Seconds(env.settings.Params.Workers.LeaseS)
}

// isReached tells whether a link's other end has responded lately enough to count as reached.
func isReached(link *rpc.Link) bool { return time.Since(link.LastResponse()) <= linkFreshness }
