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

// environment is what every component needs and none changes: settings, logger, clock, clients, links, counters.
type environment struct {
	network     host.Net
	settings    *config.Settings
	options     Options
	log         *slog.Logger
	startTime   time.Time
	store       *kvstore.Client
	oplog       *oplog.Log
	cloud       *cloud.Client
	agents      *agent.Client
	links       map[string]*rpc.Link
	traffic     rpc.Traffic
	connLimiter *api.ConnLimiter
	metrics     *metrics.Registry
	ctx         context.Context
}

func (env *environment) now() model.Time { return time.Since(env.startTime) }

// probeAfter is how long a machine may say nothing before it is asked itself:
// the longest pause between two reports and some time on the way.
func (env *environment) probeAfter() time.Duration {
	return config.Seconds(env.settings.Params.Workers.HeartbeatS*1.25 + 0.75)
}

// silentAfter is how long a machine may say nothing, also when asked, before it
// is given up.
func (env *environment) silentAfter() time.Duration { return env.probeAfter() + 3*time.Second }

// leaseDuration is how long a worker's lease is.
func (env *environment) leaseDuration() model.Time {
	return config.Seconds(env.settings.Params.Workers.LeaseS)
}
