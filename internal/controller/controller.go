// Package controller is the cluster's controller: it accepts jobs, schedules their tasks onto machines, keeps the
// agents on them alive, and scales the fleet. One of several controllers leads; the others follow the replicated log
// and stand ready for failover.
//
// One goroutine, the event loop, owns the model and the state of all components. Users, agents, the log, the cloud
// and the other controllers reach it by posting work to it.
//
// Nothing is done and nothing is answered before it is in the log: entries are applied to the model at once, so that
// later decisions build on them, but commands and responses that depend on them wait until their batch is committed.
// If leadership is lost, the model is thrown away and read anew.
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
	"fieldhill/internal/platform/host"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Controller makes the components, wires them, runs their goroutines and the periodic maintenance, and dispatches
// other controllers' requests. It has no state of its own: each component's is the component's, and the loop's to
// change.
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

// Options are what an operator sets for one controller by flags, beside the settings that the service has in common.
type Options struct {
	Beta          float64       // of the scheduler's parameters, see scheduler.Params
	Threshold     float64       // likewise
	WaitRounds    int           // likewise
	RoundInterval time.Duration // between regular scheduling rounds
	MetricsAddr   string        // address of the metrics page; "": none
	AdminAddr     string        // address of the admin API; "": none
	// SingletonRoles has the provisioner's and the compactor's work held one by one, by whichever controller does it
	// best, once all controllers have this set.
	SingletonRoles bool
}

// New makes a controller; Run runs it.
func New(network host.Net, settings *config.Settings, options Options, logger *slog.Logger) *Controller {
	c := newComponents(newEnvironment(network, settings, options, logger))
	c.replica.reset()
	c.forward.publish()
	return c
}

// listeners are the sockets that a controller serves on; metrics and admin are nil if they are not configured.
type listeners struct {
	api, peers, metrics, admin net.Listener
}

// listen opens all listeners, or none.
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
			return nil, errors.Join(fmt.Errorf("controller: %s listener: %w", endpoint.name, err), opened.close())
		}
		*endpoint.listener = listener
	}
	return opened, nil
}

// close closes what is open.
func (l *listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.api, l.peers, l.metrics, l.admin} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// Run serves until the context ends or something that a controller can't do without fails, and returns which. All
// goroutines have ended when it returns.
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
		c.roles.revokeRoles() //nolint:contextcheck // the context has ended; this has a timeout of its own
	}
	c.close()
	_ = tasks.Wait() // the error that ended the context is its cause
	return context.Cause(ctx)
}

// startCore starts the loop, and what it has to do with the log and with the other controllers.
func (c *Controller) startCore(ctx context.Context, tasks *errgroup.Group, opened *listeners) {
	start := func(task func(context.Context)) {
		tasks.Go(func() error { task(ctx); return nil })
	}
	start(c.loop.run)
	start(c.leadership.runReplication)
	tasks.Go(func() error {
		return taskError("peers", rpc.Serve(ctx, opened.peers, c.handlePeerRequest, &c.traffic, c.log))
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

// maxMetricsConns bounds the connections to the metrics page.
const maxMetricsConns = 4

// startServers starts what answers users, agents and operators.
func (c *Controller) startServers(ctx context.Context, tasks *errgroup.Group, opened *listeners) {
	tasks.Go(func() error {
		handler := api.Handler(c.requestHandlers(), c.log, c.connLimiter, c.metrics.ObserveRequest)
		return taskError("api", api.Serve(ctx, opened.api, c.connLimiter, handler, c.log))
	})
	if opened.metrics != nil {
		tasks.Go(func() error {
			limiter := &api.ConnLimiter{MaxConns: maxMetricsConns}
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

// taskError names the part of the controller that failed.
func taskError(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}

// handlePeerRequest answers another controller. Which component may answer depends on whether this one leads, and
// where it does not, on whether it is in touch with the key-value store.
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
		jobNumber, ok := wire.JobNumber(request.ID)
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
		return api.Respond(c.leases.replyRenewals(ctx, request))
	case rpc.OpWatermark:
		return api.Respond(c.fence.replyWatermarks(ctx))
	case rpc.OpRelayOffer:
		return api.Respond(c.assignments.onRelayOffer(ctx, request))
	case rpc.OpRelayReport:
		return api.Respond(c.heartbeatRouter.onRelayedReport(ctx, request))
	case rpc.OpRelayOrders:
		return api.Respond(c.relay.forwardOrders(ctx, request))
	case rpc.OpRelayProbe:
		return api.Respond(c.relay.forwardQuery(ctx, request))
	}
	return api.Respond(result.Unsupported{Reason: "unknown operation"})
}
