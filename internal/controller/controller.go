// Package controller wires everything together. One goroutine owns the model
// (the loop); users, workers, the log, the cloud and the other controllers reach
// it by posting work to it.
//
// Nothing is done and nothing is told before it is in the log: entries are
// applied to the model at once, so that later decisions see them, but commands
// and answers that depend on them wait until their batch is committed. If the
// lead is lost, the model is thrown away and read anew.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/agents/lease"
	"fieldhill/internal/api"
	"fieldhill/internal/config"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/platform/cloud"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// Controller makes the components, wires them, runs their goroutines and the regular tick, and dispatches peers' calls.
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

// Options are the operator's own settings.
type Options struct {
	Beta           float64
	Threshold      float64
	WaitRounds     int
	RoundInterval  time.Duration
	MetricsAddr    string // address of the operators' page; "": none
	AdminAddr      string // address where operators' questions are answered; "": none
	SingletonRoles bool   // duties are held one by one, by whichever node does them best, once all nodes have this
}

// New makes a controller; Run runs it.
func New(network host.Net, settings *config.Settings, options Options, logger *slog.Logger) *Controller {
	c := newComponents(newEnvironment(network, settings, options, logger))
	params := &settings.Params
	sockets := params.Limits.MaxSockets
	c.intake.limiter = newIntakeLimiter(params.KVStore.WriteRPS, len(settings.Members)+1)
	c.leadership.eligibility = newEligibility(settings, c.links, c.now)
	c.relay.state = newRelaying(c.connLimiter.MaxConns, sockets)
	c.leases.renewals = lease.NewRenewalTable(c.now())
	c.loop.workQueue = make(chan func(), workQueueSize)
	c.loop.requestQueue = make(chan queuedRequest, maxQueuedRequests)
	c.loop.loopDone = make(chan struct{})
	c.loop.roundGap = minRoundGap
	c.commits.snapshotInterval = defaultSnapshotInterval
	c.keepalives.noRedirectUntil = map[string]time.Time{}
	c.assignments.spreadThreshold = c.connLimiter.MaxConns * 3 / 4
	c.probes.maxZoneProbes = zoneProbeLimit(sockets, len(params.Zones))
	c.probes.maxFollowUpProbes = followUpProbeLimit(sockets)
	if options.SingletonRoles {
		c.roles.state = newRoleState(settings.Node)
	}
	c.replica.reset()
	c.forward.publish()
	return c
}

// newEnvironment makes what all components share: the clients of the outside world, with their parts of its limits.
func newEnvironment(
	network host.Net, settings *config.Settings, options Options, logger *slog.Logger,
) *environment {
	params := &settings.Params
	members := float64(len(settings.Members) + 1)
	sockets := params.Limits.MaxSockets
	env := &environment{
		network: network, settings: settings, options: options, log: logger, startTime: time.Now(),
		store:   kvstore.New(network, settings.Endpoints.KVStore, max(4, params.KVStore.RPS/members*0.95)),
		cloud:   cloud.New(network, settings.Endpoints.Cloud, params.Cloud.RPS*0.8),
		agents:  agent.New(network, ordersTimeout, max(32, sockets/3)),
		metrics: metrics.New(api.RequestKinds...),
		links:   map[string]*rpc.Link{},
		// Sockets: six parts in ten for incoming connections, a third for commands to and probes of agents, the rest
		// for the key-value store, the cloud, the other controllers and what is just closing.
		connLimiter: &api.ConnLimiter{MaxConns: max(32, sockets*6/10)},
	}
	env.oplog = oplog.New(env.store, params.KVStore.WriteRPS, params.KVStore.ValueKB, params.KVStore.TxnOps, logger)
	for _, m := range settings.Members {
		env.links[m.Node] = rpc.NewLink(network, m.Node, m.Addr, logger)
		env.links[m.Node].Traffic = &env.traffic
	}
	return env
}

// workQueueSize bounds the pieces of work that wait for the loop; while it is full heartbeats are refused.
const workQueueSize = 512

// newIntakeLimiter limits the jobs that one of so many controllers takes without the leader to its part of a fifth of
// the key-value store's write rate, in bursts of two seconds' worth.
func newIntakeLimiter(writeRPS float64, controllers int) *rate.Limiter {
	share := writeRPS * 0.2 / float64(controllers)
	return rate.NewLimiter(rate.Limit(share), max(1, int(2*share)))
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	apiListener, err := c.network.Listen(c.settings.Bind)
	if err != nil {
		return err
	}
	peerListener, err := c.network.Listen(c.settings.PeerListen)
	if err != nil {
		return err
	}
	var metricsListener net.Listener
	if c.options.MetricsAddr != "" {
		if metricsListener, err = c.network.Listen(c.options.MetricsAddr); err != nil {
			return err
		}
	}
	var adminListener net.Listener
	if c.options.AdminAddr != "" {
		if adminListener, err = c.network.Listen(c.options.AdminAddr); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.ctx = ctx
	var wg sync.WaitGroup
	defer wg.Wait()
	run := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				cancel(fmt.Errorf("%s: %w", name, err))
			}
		})
	}
	run("loop", func() error { defer close(c.loop.loopDone); c.loop.run(ctx); return nil })
	run("storage", func() error { c.leadership.runReplication(ctx); return nil })
	run("peers", func() error { return rpc.Serve(ctx, peerListener, c.handlePeerRequest, &c.traffic, c.log) })
	if c.roles.state != nil {
		run("duties", func() error { c.roles.watchRoles(ctx); return nil })
	} else {
		run("duties", func() error { c.roles.withdrawFromRoles(ctx); return nil })
	}
	for _, l := range c.links {
		run("link", func() error { l.Run(ctx); return nil })
	}
	run("api", func() error {
		return api.Serve(
			ctx,
			apiListener,
			c.connLimiter,
			api.Handler(c.requestHandlers(), c.log, c.connLimiter, c.metrics.ObserveRequest),
			c.log,
		)
	})
	if metricsListener != nil {
		run("metrics", func() error {
			return api.Serve(
				ctx,
				metricsListener,
				&api.ConnLimiter{MaxConns: maxMetricsConns},
				c.metrics.Handler(c.telemetry.snapshot),
				c.log,
			)
		})
	}
	if adminListener != nil {
		run("operate", func() error { return adminapi.Serve(ctx, adminListener, c.explanations, c.log) })
	}
	c.log.Info("controller started", "node", c.settings.Node, "zone", c.settings.Zone, "bind", c.settings.Bind,
		"pid", os.Getpid())
	<-ctx.Done()
	if c.roles.state != nil {
		<-c.loop.loopDone
		c.roles.revokeRoles()
	}
	c.store.Close()
	c.cloud.Close()
	c.agents.Close()
	return context.Cause(ctx)
}

// maxMetricsConns bounds the connections to the operators' page.
const maxMetricsConns = 4

const (
	minRoundGap         = 40 * time.Millisecond // between two rounds
	maxRoundGap         = 500 * time.Millisecond
	roundGapFactor      = 5 // a round is followed by so many times its own length without one
	maintenanceInterval = 250 * time.Millisecond
)

// defaultSnapshotInterval is after how many batches the log is compacted.
const defaultSnapshotInterval = 500

func newEligibility(settings *config.Settings, links map[string]*rpc.Link, now func() model.Time) *eligibility {
	s := &eligibility{
		watch:       candidacy.New(candidacy.DefaultRules, len(settings.Members), now()),
		nodeIndex:   map[string]int{},
		incarnation: rand.Uint64(),
		node:        settings.Node,
		now:         now,
	}
	for i, m := range settings.Members {
		s.nodeIndex[m.Node] = i
		link := links[m.Node]
		link.PingBody = func() []byte { return candidacy.AppendQuery(nil, s.node, s.incarnation) }
		link.OnPong = func(payload []byte) {
			// An older node says nothing, which counts as not warm: then this process stands beside it, as all did
			// before.
			status, _ := candidacy.ReadStatus(payload)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watch.RecordStatus(i, status, s.now())
		}
		link.OnDown = func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watch.RecordUnreachable(i)
		}
	}
	return s
}

// zoneProbeLimit is how many silent machines of a zone are asked at the same time: a tenth of all sockets for all
// zones. Each zone has places of its own, so that a zone whose machines don't answer, each of which holds its place
// for more than a second, keeps no machine of another one from being asked before it is given up.
func zoneProbeLimit(sockets, zones int) int { return max(48, sockets/(10*max(1, zones))) }

// followUpProbeLimit is how many machines are asked at the same time because of what they said, and as many because
// nobody knows them.
func followUpProbeLimit(sockets int) int { return max(32, sockets/32) }

// relayedProbeLimit is how many machines a relay asks at the same time for the leader.
func relayedProbeLimit(sockets int) int { return max(minRelayed, sockets/6) }

func (c *Controller) runMaintenance() {
	now := time.Now()
	elapsed := now.Sub(c.startTime) - model.Time(c.readiness.lastLoopTurn.Swap(int64(now.Sub(c.startTime))))
	if len(c.loop.requestQueue) == 0 {
		c.loop.admissionGate.ObserveWait(max(0, elapsed-maintenanceInterval), c.now())
	}
	if delay := elapsed - maintenanceInterval; delay > toleratedDelay {
		c.health.resetFailureDetectors(delay)
	}
	if term := c.term.ownTerm; term != nil {
		term.rounds.lowPriorityLimit = nextLowLimit(term.rounds.lowPriorityLimit, elapsed-maintenanceInterval)
	}
	c.readiness.updateReadiness()
	c.zones.reportPartition()
	c.fence.runBarrierRound()
	c.roles.maintainRoles()
	c.relay.maintainRelay()
	c.keepalives.sweep(now)
	term := c.term.ownTerm
	if term == nil || !c.term.isActive() {
		return
	}
	for machine := range term.dispatch.dirtyMachines {
		c.dispatch.sendDirect(machine)
	}
	if now.Sub(term.provisioning.lastAutoscale) > 500*time.Millisecond && now.After(term.leadership.reportGraceEnd) &&
		!term.stalled() {
		term.provisioning.lastAutoscale = now
		c.provisioning.runAutoscaler(term)
	}
	c.replica.model.AccrueServiceTime(elapsed)
	c.assignments.maintainAssignments(term)
	c.leadership.logFailover(term)
	c.provisioning.runProvisioner(now)
}

const (
	maxLowPerRound = 400 // low tasks in a round, when this node keeps up
	minLowPerRound = 4   // when it does not
	paceThreshold  = 25 * time.Millisecond
)

// nextLowLimit is how many low tasks may be placed in a round, given how late the housekeeping
// came. A start costs a placement, its place in the log, a command and two or three
// reports: one huge array of tiny tasks used to take the whole processor of a small
// node, and users waited.
func nextLowLimit(limit int, delay time.Duration) int {
	if delay > paceThreshold {
		return max(minLowPerRound, limit/2)
	}
	return min(maxLowPerRound, limit+limit/8+1)
}

const (
	// stallThreshold is how long the loop may do nothing before that is told, and counts as a gap in all that it hears.
	stallThreshold = 4 * maintenanceInterval
	// toleratedDelay is how late the housekeeping may come before that time counts against nobody.
	toleratedDelay = 100 * time.Millisecond
)

// handlePeerRequest answers another controller.
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
		return c.fence.replyWatermarks(ctx)
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

// relayedLimit bounds the reports, and the direct commands, that a relay has under way at the same time: no more than
// half of the connections that it ends. Pings and users' requests use the same link.
func relayedLimit(connections int) int { return max(minRelayed, connections/2) }

func newRelaying(connections, sockets int) *relaying {
	limit := relayedLimit(connections)
	return &relaying{
		reports: make(slots, limit), orders: make(slots, limit), probes: make(slots, relayedProbeLimit(sockets)),
	}
}

func newRoleState(node string) *roleState {
	roles := &roleState{participants: map[string]bool{}}
	for i := range roles.roles {
		roles.roles[i] = singleton.New(singleton.Name(i), node, singleton.DefaultRules(singleton.Name(i)))
	}
	return roles
}
