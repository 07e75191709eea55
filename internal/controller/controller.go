// Package controller implements the cluster's controller. It accepts jobs, schedules their tasks onto machines, renews
// the leases of the machines' agents, and scales the fleet. One of several controllers is the leader; the others follow
// the replicated log and can take over from it.
//
// A single goroutine, the event loop, owns the model and the state of all components. All other goroutines, which serve
// users, agents and other controllers or watch the log and the cloud, post their work to it.
//
// No command or response leaves the controller before the entries it depends on are committed to the log. Entries are
// applied to the model immediately, so that later decisions build on them; commands and responses wait until their
// batch is committed. When leadership is lost, the model is discarded and reloaded.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/api"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/connlimit"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Controller creates the components, connects them, runs their goroutines and the periodic maintenance, and dispatches
// requests from other controllers. It has no state of its own: each component holds its state, which only the event
// loop changes, except where a component's comment says otherwise.
type Controller struct {
	*environment
	loop            *eventLoop
	term            *termState
	replica         *replica
	forward         *forwarder
	commits         *commitPipeline
	leadership      *leadership
	fence           *commitFence
	leases          *leaseRenewal
	assignments     *relayAssignments
	relay           *relayAgent
	probes          *probes
	dispatch        *commandDispatcher
	rounds          *schedulingRounds
	provisioning    *provisioning
	keepalives      *followerKeepalives
	heartbeats      *heartbeats
	heartbeatRouter *heartbeatRouter
	zones           *zoneLiveness
	health          *machineHealth
	intake          *intake
	jobStatus       *jobStatus
	submissions     *submissions
	cancellations   *cancellations
	roles           *singletonRoles
	explanations    *explanations
	readiness       *readiness
	telemetry       *telemetry
}

// Options are the per-controller options that an operator sets by flags, in addition to the settings that all
// controllers share.
type Options struct {
	Beta          float64       // scheduler.Params.Beta
	Threshold     float64       // scheduler.Params.Threshold
	WaitRounds    int           // scheduler.Params.WaitRounds
	RoundInterval time.Duration // interval between regular scheduling rounds
	MetricsAddr   string        // address of the metrics page; disabled if empty
	AdminAddr     string        // address of the admin API; disabled if empty
	// SingletonRoles makes provisioning and log compaction separate roles, each of which any controller can hold
	// independently of leadership. It takes effect once all controllers have it set.
	SingletonRoles bool
}

// New creates a controller. The controller serves requests once Run is called.
func New(network host.Net, settings *config.Settings, options Options, logger *slog.Logger) *Controller {
	c := newComponents(newEnvironment(network, settings, options, logger))
	c.replica.reset()
	c.forward.publish()
	return c
}

// listeners are the sockets that a controller serves on; metrics and admin are nil if not configured.
type listeners struct {
	api, peers, metrics, admin net.Listener
}

// listen opens all configured listeners. If one fails, it closes the others and returns an error.
func (c *Controller) listen() (*listeners, error) {
	opened := &listeners{}
	for _, endpoint := range []struct {
		name, addr string
		listener   *net.Listener
		optional   bool
	}{
		{"API", c.settings.Bind, &opened.api, false},
		{"peer", c.settings.PeerListen, &opened.peers, false},
		{"metrics", c.options.MetricsAddr, &opened.metrics, true},
		{"admin", c.options.AdminAddr, &opened.admin, true},
	} {
		if endpoint.optional && endpoint.addr == "" {
			continue
		}
		listener, err := c.network.Listen(endpoint.addr)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("controller: open %s listener: %w", endpoint.name, err), opened.close())
		}
		*endpoint.listener = listener
	}
	return opened, nil
}

// close closes the listeners that are open.
func (l *listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.api, l.peers, l.metrics, l.admin} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// Run serves until the context ends or an essential task fails, and returns the cause. All goroutines that it started
// have ended when it returns.
func (c *Controller) Run(ctx context.Context) error {
	opened, err := c.listen()
	if err != nil {
		return err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	c.ctx = ctx
	c.startCore(ctx, tasks, opened)
	c.startServers(ctx, tasks, opened)
	c.log.Info("controller started", "node", c.settings.Node, "zone", c.settings.Zone, "bind", c.settings.Bind,
		"pid", os.Getpid())
	<-ctx.Done()
	if c.roles.state != nil {
		<-c.loop.done
		c.roles.revokeRoles() //nolint:contextcheck // the context has ended; revokeRoles has its own timeout
	}
	c.close()
	_ = tasks.Wait() // the first error is returned as the cause of the context
	return context.Cause(ctx)
}

// startCore starts the event loop, replication, and communication with the other controllers.
func (c *Controller) startCore(ctx context.Context, tasks *errgroup.Group, opened *listeners) {
	start := func(task func(context.Context)) {
		tasks.Go(func() error { task(ctx); return nil })
	}
	start(c.loop.run)
	start(c.leadership.runReplication)
	tasks.Go(func() error {
		listener := c.peerLimiter.Listen(opened.peers)
		return taskError("peers", rpc.Serve(ctx, listener, c.handlePeerRequest, &c.traffic, c.log))
	})
	if c.roles.state != nil {
		start(c.roles.watchRoles)
	} else {
		start(c.roles.withdrawFromRoles)
	}
	for _, link := range c.links {
		start(link.Run)
	}
}

// maxMetricsConns limits the concurrent connections to the metrics page.
const maxMetricsConns = 4

// startServers starts the servers for users, agents and operators.
func (c *Controller) startServers(ctx context.Context, tasks *errgroup.Group, opened *listeners) {
	tasks.Go(func() error {
		handler := api.Handler(c.requestHandlers(), c.log, c.connLimiter, c.metrics.ObserveRequest)
		return taskError("api", api.Serve(ctx, opened.api, c.connLimiter, handler, c.log))
	})
	if opened.metrics != nil {
		tasks.Go(func() error {
			limiter := &connlimit.Limiter{MaxConns: maxMetricsConns}
			handler := c.metrics.Handler(c.telemetry.snapshot)
			return taskError("metrics", api.Serve(ctx, opened.metrics, limiter, handler, c.log))
		})
	}
	if opened.admin != nil {
		tasks.Go(func() error {
			return taskError("operate", adminapi.Serve(ctx, opened.admin, c.explanations, c.log))
		})
	}
}

// taskError adds to a task's error the name of what the task was serving. It returns nil if err is nil.
func taskError(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("controller: serve %s: %w", name, err)
}

// handlePeerRequest answers a request from another controller. Which component answers depends on whether this
// controller is the leader and, if it is not, on whether it can reach the key-value store.
func (c *Controller) handlePeerRequest(ctx context.Context, request *rpc.Request) *rpc.Response {
	switch request.Op {
	case rpc.OpPing:
		return api.Respond(result.Done{Body: c.leadership.eligibility.respond(request.Body)})
	case rpc.OpSubmit:
		switch leads, storeReachable := c.forward.routingState(); {
		case leads:
			return api.Respond(c.submissions.submitAsLeader(ctx, request.Body))
		case storeReachable:
			return api.Respond(c.submissions.submitToIntake(ctx, request.Body))
		}
		return api.Respond(result.NoLeader{})
	case rpc.OpStatus:
		jobNumber, ok := wire.ParseJobID(request.ID)
		if leads, storeReachable := c.forward.routingState(); ok && !leads {
			if !storeReachable {
				return api.Respond(result.NoLeader{})
			}
			return api.Respond(c.jobStatus.answerFromReplica(ctx, model.JobID(jobNumber)))
		}
		return api.Respond(c.jobStatus.answerAsLeader(ctx, request.ID))
	case rpc.OpPendingReasons, rpc.OpQueue:
		return adminapi.Respond(c.explanations.handleAdminRequest(ctx, request))
	case rpc.OpCancel:
		return api.Respond(c.cancellations.cancelAsLeader(ctx, request.ID))
	case rpc.OpRoleResult:
		return api.Respond(c.roles.onRoleReport(ctx, request))
	case rpc.OpRenewals:
		return api.Respond(c.leases.answerRenewalQuery(ctx, request))
	case rpc.OpWatermark:
		return api.Respond(c.fence.replyWatermarks(ctx))
	case rpc.OpRelayOffer:
		return api.Respond(c.assignments.onRelayOffer(ctx, request))
	case rpc.OpRelayHeartbeat:
		return api.Respond(c.heartbeatRouter.onRelayedReport(ctx, request))
	case rpc.OpRelayCommands:
		return api.Respond(c.relay.forwardCommands(ctx, request))
	case rpc.OpRelayProbe:
		return api.Respond(c.relay.forwardProbe(ctx, request))
	}
	return api.Respond(result.Unsupported{Reason: "unknown operation"})
}
