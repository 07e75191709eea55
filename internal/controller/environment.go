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
	"fieldhill/internal/platform/connlimit"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
)

// environment holds what all components share and no component changes: settings, logger, clock, clients of external
// services, links to the other controllers, and metrics. It is safe for concurrent use.
type environment struct {
	network   host.Net
	settings  *config.Settings
	options   Options
	log       *slog.Logger
	startTime time.Time // origin of model.Time

	store  *kvstore.Client
	oplog  *oplog.Log
	cloud  *cloud.Client
	agents *agent.Client

	links       map[string]*rpc.Link // links to the other controllers, by node
	traffic     rpc.Traffic          // traffic on links
	connLimiter *connlimit.Limiter   // limits connections from users and agents
	peerLimiter *connlimit.Limiter   // limits connections from other controllers
	metrics     *metrics.Registry

	// ctx ends when the controller stops. Run sets it before starting any goroutine. It bounds work that is not tied to
	// a single request: work started by the event loop, and reads shared by several requests.
	ctx context.Context
}

// Shares of the limits in the settings. The limits of the key-value store and of the cloud apply to the whole service,
// the limit on sockets to each process.
const (
	kvRequestShare       = 0.95 // of a controller's share of the key-value store's request rate
	minKVRequestRate     = 4    // lower bound, in requests per second
	cloudRequestShare    = 0.8  // of the cloud API's request rate
	minAgentConns        = 32   // lower bound on connections to agents
	minIncomingConns     = 32   // lower bound on connections from users and agents
	incomingConnsPercent = 60   // of the sockets, for connections from users and agents
	peerConnsPercent     = 5    // of the sockets, for connections from other controllers
	unreadMemoryShare    = 0.05 // of the memory, for requests that have arrived in part, on each of the two ports
	agentSocketDivisor   = 3    // 1/3 of the sockets, for commands to and probes of agents
)

// newEnvironment creates the links to the other controllers and the clients of external services, each client with its
// share of the limits.
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
		agents:    agent.New(network, directCommandTimeout, max(minAgentConns, sockets/agentSocketDivisor)),
		metrics:   metrics.New(api.RequestKinds...),
		links:     map[string]*rpc.Link{},
		// Of the sockets, 60% are for incoming connections, and a third for commands to and probes of agents. The rest
		// is for the key-value store, the cloud, the other controllers, and connections that are being closed.
		connLimiter: &connlimit.Limiter{
			MaxConns:       max(minIncomingConns, sockets*incomingConnsPercent/100),
			MaxUnreadBytes: int(params.Limits.MemoryMB * (1 << 20) * unreadMemoryShare),
		},
		peerLimiter: &connlimit.Limiter{
			MaxConns:       max(minIncomingConns, sockets*peerConnsPercent/100),
			MaxUnreadBytes: int(params.Limits.MemoryMB * (1 << 20) * unreadMemoryShare),
		},
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

// now returns the time since the controller's start.
func (env *environment) now() model.Time { return time.Since(env.startTime) }

// probeAfter returns the time without a heartbeat after which a machine is probed: the longest interval between two
// heartbeats plus an allowance for the network delay.
func (env *environment) probeAfter() time.Duration {
	return config.Seconds(env.settings.Params.Workers.HeartbeatS*1.25 + 0.75)
}

// probeGrace is how long probes may go unanswered before a machine counts as failed.
const probeGrace = 3 * time.Second

// silentAfter returns the time without a heartbeat or an answer to a probe after which a machine counts as failed.
func (env *environment) silentAfter() time.Duration { return env.probeAfter() + probeGrace }

func (env *environment) leaseDuration() model.Time {
	return config.Seconds(env.settings.Params.Workers.LeaseS)
}

// isReachable reports whether the other end of the link has responded within linkTimeout.
func isReachable(link *rpc.Link) bool { return time.Since(link.LastResponse()) <= linkTimeout }
