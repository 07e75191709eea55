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
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/adminapi"
	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/platform/cloud"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/commitfence"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/admission"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/internal/scheduling/scheduler"
)

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

// machineTokenBits is how many low bits of a token are a machine's own.
const machineTokenBits = 24

// Controller is a controller.
type Controller struct {
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
	eligibility *eligibility
	traffic     rpc.Traffic
	connLimiter *api.ConnLimiter
	// relayState is this node's part in ending workers' connections for the leader.
	relayState    *relaying
	intakeLimiter *rate.Limiter // of jobs taken without the leader
	metrics       *metrics.Registry
	workQueue     chan func()
	// requestQueue is what users want of the loop; it waits for all that is in work.
	requestQueue chan queuedRequest
	routing      atomic.Pointer[routingView]
	loopDone     chan struct{} // closed when the loop runs no more
	ctx          context.Context

	// Owned by the loop.
	model               *model.Model
	admissionGate       admission.Gate // for new jobs
	loaded              bool
	appliedSeq          uint64 // last batch applied (follower) or committed (leader)
	scheduler           *scheduler.Scheduler
	autoscaler          *autoscaler.Autoscaler
	ownTerm             *leaderTerm // nil: follower
	leader              *oplog.Leader
	caughtUpAt          time.Time              // the replica was complete then
	lastStoreContact    time.Time              // the state service answered a watch, or the load, then
	watermarks          commitfence.Watermarks // what this process has ever seen of the log
	fenceProvenAt       time.Time              // the other controllers showed that nothing this node lacks was confirmed by then
	lastBarrierRound    time.Time              // when they were last asked
	replicaGeneration   int                    // how often the copy was thrown away
	renewals            *lease.RenewalTable    // whose lease this process renewed when; it outlives the lead
	noRedirectUntil     map[string]time.Time   // workers that don't reach the leader, and until when they are not sent to it
	lastSweep           time.Time              // when noRedirectUntil and cleared were last swept
	clearedMachines     clearedMachines        // machines that came here and hold nothing of a cancelled job
	lastPartitionReport time.Time              // when this node last told the leader that it does not reach it
	snapshotInterval    int                    // batches between two snapshots
	// spreadThreshold is with more than how many machines workers are spread over the nodes; tests change it.
	spreadThreshold   int
	maxZoneProbes     int // silent machines of a zone that are asked at once; tests change it
	maxFollowUpProbes int // machines that are asked at once because of what they said
	roundRequested    bool
	lastRound         time.Time
	roundGap          time.Duration // between rounds that events wake

	singletons *roleState // nil: the leader does all of it

	explaining      atomic.Bool // only who has set it
	lastExplanation model.Time  // reads and writes this: when last

	ready         atomic.Bool
	submitLatency atomic.Int64 // how long the leader takes to answer a submission, averaged
	lastLoopTurn  atomic.Int64 // when the loop was last seen to run
	catchUpMu     sync.Mutex
	catchUpRead   *catchUpRead
}

// leaderTerm is what a leader has.
type leaderTerm struct {
	leader                 oplog.Leader
	trustedUntil           time.Time    // the lead is trusted until then
	trustedUntilOffset     atomic.Int64 // the same, for others than the loop
	committedSeq           uint64
	writeInFlight          bool
	writeStarted           time.Time
	queue                  [][]byte // batches not yet handed to the writer; the last one grows
	urgent                 bool     // the queue holds what somebody waits for
	queuedAt               time.Time
	batches                chan oplog.Batch
	commitWaiters          []commitWaiter
	reportGraceEnd         time.Time
	lowPriorityLimit       int // low tasks to be placed in a round
	batchesSinceSnapshot   int
	snapshots              chan snapshot
	scaleOutCount          int
	orders                 map[string]provisioner.ScaleOut // rentals that are asked for, by name
	provisioner            *provisioner.Provisioner
	cancel                 context.CancelFunc
	ctx                    context.Context
	lastAutoscale          time.Time
	lastSummary            time.Time
	lastLatenessLog        time.Time
	loggedReasons          map[model.JobID]pending.Code // why jobs wait, as logged
	cloudUnavailable       bool                         // it did not list the machines when last asked
	dirtyMachines          map[*model.Machine]bool      // have something to be told
	dirtyAfterCommit       map[*model.Machine]bool      // will have, once the log has it
	zonePartitionedUntil   map[int32]model.Time         // zones that are cut off, or were until recently
	partitionedNodes       map[string]*partitionedNode  // what was seen of nodes that this one does not reach
	partitionQueryInFlight bool                         // which nodes are apart
	lastPartitionQuery     time.Time
	lastRenewalQuery       time.Time       // when the others were last asked whose lease they renewed
	lastHeartbeat          model.Time      // when any machine was last heard of
	heartbeatsMissingSince time.Time       // since when hardly any machine is heard of; zero: some are
	dropping               map[uint64]bool // jobs of the intake that the log has, whose records are being deleted
	droppable              []uint64        // those of them that may go now
	dropInFlight           bool
	intakeRescanNeeded     bool               // at the intake, after that
	handingOver            bool               // the lead is being handed over
	timeline               candidacy.Timeline // of the takeover
	failoverLogged         bool
	errs                   chan error
	maxZoneProbes          int                        // silent machines of a zone that are asked at once
	unresponsive           map[*model.Machine]bool    // asked, without an answer, and not heard of in this term
	zoneProbes             map[int32]*zoneProbeCounts // what came of asking, by zone
	unknownMachines        map[string]bool            // machines that nobody knows, and that are being asked
	followUpProbes         int                        // machines that are being asked because of what they said
	heartbeatCount         int                        // how often any machine was heard of in this term
	relayAssignments       *relay.Table               // through which node each machine reports
	acceptingNodes         []bool                     // nodes that take more workers, by their index in the table
	lastRelayOffers        []model.Time               // when they last offered to be relays; 0: never
	lastAssignmentSweep    model.Time                 // when the table was last swept
}

type snapshot struct {
	seq  uint64
	data []byte
}

type commitWaiter struct {
	seq      uint64
	onResult func(ok bool)
}

// New makes a node.
func New(network host.Net, settings *config.Settings, options Options, logger *slog.Logger) *Controller {
	p := &settings.Params
	members := float64(len(settings.Members) + 1)
	n := &Controller{
		network: network, settings: settings, options: options, log: logger, startTime: time.Now(),
		store:   kvstore.New(network, settings.Endpoints.KVStore, max(4, p.KVStore.RPS/members*0.95)),
		cloud:   cloud.New(network, settings.Endpoints.Cloud, p.Cloud.RPS*0.8),
		agents:  agent.New(network, ordersTimeout, max(32, p.Limits.MaxSockets/3)),
		metrics: metrics.New(api.RequestKinds...),
		links:   map[string]*rpc.Link{}, workQueue: make(chan func(), 512), requestQueue: make(chan queuedRequest, maxQueuedRequests), loopDone: make(chan struct{}), noRedirectUntil: map[string]time.Time{},
	}
	n.intakeLimiter = rate.NewLimiter(rate.Limit(p.KVStore.WriteRPS*0.2/members), max(1, int(p.KVStore.WriteRPS*0.4/members)))
	n.oplog = oplog.New(n.store, p.KVStore.WriteRPS, p.KVStore.ValueKB, p.KVStore.TxnOps, logger)
	for _, m := range settings.Members {
		n.links[m.Node] = rpc.NewLink(network, m.Node, m.Addr, logger)
		n.links[m.Node].Traffic = &n.traffic
	}
	n.eligibility = newEligibility(settings, n.links, n.now)
	// Sockets: six parts in ten for who comes, a third for commands and questions to workers, the rest for the
	// state service, the cloud, the other controllers and what is just closing.
	n.connLimiter = &api.ConnLimiter{MaxConns: max(32, p.Limits.MaxSockets*6/10)}
	n.relayState = newRelaying(n.connLimiter.MaxConns, p.Limits.MaxSockets)
	n.renewals = lease.NewRenewalTable(n.now())
	n.roundGap, n.snapshotInterval = minRoundGap, defaultSnapshotInterval
	n.spreadThreshold = n.connLimiter.MaxConns * 3 / 4
	n.maxZoneProbes, n.maxFollowUpProbes = zoneProbeLimit(p.Limits.MaxSockets, len(p.Zones)), followUpProbeLimit(p.Limits.MaxSockets)
	if options.SingletonRoles {
		n.singletons = newRoleState(settings.Node)
	}
	n.reset()
	n.publish()
	return n
}

func (n *Controller) reset() {
	n.model = model.New(&n.settings.Params)
	n.appliedSeq, n.loaded, n.ownTerm = 0, false, nil
	n.clearedMachines = clearedMachines{} // machines' numbers are the log's, but those that are gone need not be kept
	n.replicaGeneration++
}

func (n *Controller) now() model.Time { return time.Since(n.startTime) }

// Run serves until the context ends.
func (n *Controller) Run(ctx context.Context) error {
	apiListener, err := n.network.Listen(n.settings.Bind)
	if err != nil {
		return err
	}
	peerListener, err := n.network.Listen(n.settings.PeerListen)
	if err != nil {
		return err
	}
	var metricsListener net.Listener
	if n.options.MetricsAddr != "" {
		if metricsListener, err = n.network.Listen(n.options.MetricsAddr); err != nil {
			return err
		}
	}
	var adminListener net.Listener
	if n.options.AdminAddr != "" {
		if adminListener, err = n.network.Listen(n.options.AdminAddr); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.ctx = ctx
	var wg sync.WaitGroup
	defer wg.Wait()
	run := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				cancel(fmt.Errorf("%s: %w", name, err))
			}
		})
	}
	run("loop", func() error { defer close(n.loopDone); n.run(ctx); return nil })
	run("storage", func() error { n.runReplication(ctx); return nil })
	run("peers", func() error { return rpc.Serve(ctx, peerListener, n.handlePeerRequest, &n.traffic, n.log) })
	if n.singletons != nil {
		run("duties", func() error { n.watchRoles(ctx); return nil })
	} else {
		run("duties", func() error { n.withdrawFromRoles(ctx); return nil })
	}
	for _, l := range n.links {
		run("link", func() error { l.Run(ctx); return nil })
	}
	run("api", func() error {
		return api.Serve(ctx, apiListener, n.connLimiter, api.Handler(n, n.log, n.connLimiter, n.metrics.ObserveRequest), n.log)
	})
	if metricsListener != nil {
		run("metrics", func() error {
			return api.Serve(ctx, metricsListener, &api.ConnLimiter{MaxConns: maxMetricsConns}, n.metrics.Handler(n.snapshot), n.log)
		})
	}
	if adminListener != nil {
		run("operate", func() error { return adminapi.Serve(ctx, adminListener, n, n.log) })
	}
	n.log.Info("controller started", "node", n.settings.Node, "zone", n.settings.Zone, "bind", n.settings.Bind, "pid", os.Getpid())
	<-ctx.Done()
	if n.singletons != nil {
		<-n.loopDone
		n.revokeRoles()
	}
	n.store.Close()
	n.cloud.Close()
	n.agents.Close()
	return context.Cause(ctx)
}

// maxMetricsConns bounds the connections to the operators' page.
const maxMetricsConns = 4

// snapshot tells how this node stands, for the operators' page, unless it is too busy.
func (n *Controller) snapshot() (view metrics.Snapshot, ok bool) {
	views := make(chan metrics.Snapshot, 1)
	if n.tryPost(func() { views <- n.view() }) != nil {
		return view, false
	}
	select {
	case view = <-views:
		return view, true
	case <-time.After(time.Second):
	case <-n.ctx.Done():
	}
	return view, false
}

func (n *Controller) view() metrics.Snapshot {
	view := metrics.Snapshot{IsLeader: n.isActive(), Applied: n.appliedSeq, Jobs: len(n.model.Jobs)}
	if n.leader != nil {
		view.Term = n.leader.Term
	}
	view.OpenProvisioning = len(n.model.Intents)
	view.PeerFrames, view.PeerBytes, view.PeerWrites = n.traffic.Frames.Load(), n.traffic.Bytes.Load(), n.traffic.Writes.Load()
	if n.ownTerm != nil {
		view.AssignedAgents = n.ownTerm.relayAssignments.Counts()[relay.Leader]
	}
	if singletons := n.singletons; singletons != nil {
		view.HoldsProvisioning, view.HoldsCompaction = singletons.roles[singleton.Provisioning].Trusted(n.now()), singletons.roles[singleton.Compaction].Trusted(n.now())
	}
	view.WorstClass, view.WorstTeam = 1, 1
	if n.ownTerm != nil {
		view.WorstClass, view.UnderServedClasses = n.scheduler.WorstClass()
		view.WorstTeam, view.UnderServedTeams = n.scheduler.WorstTeam()
	}
	for _, j := range n.model.Jobs {
		view.Waiting, view.Running = view.Waiting+j.Waiting(), view.Running+j.Live
	}
	for _, machine := range n.model.Order {
		switch {
		case machine.Releasing:
			view.Releasing++
		case machine.Suspect:
			view.Suspect++
		case n.ownTerm == nil: // a replica does not know which are up
		case !machine.Reported:
			view.Booting++
		default:
			view.Up++
			if len(machine.Runs) == 0 {
				view.Idle++
			}
		}
	}
	return view
}

// errBusy says that the loop is behind: the request is refused at once.
var errBusy = errors.New("controller: busy")

// post hands work to the loop without waiting for it.
func (n *Controller) post(f func()) {
	select {
	case n.workQueue <- f:
	case <-n.ctx.Done():
	}
}

// tryPost hands a user's or worker's work to the loop, unless it is far behind.
func (n *Controller) tryPost(f func()) error {
	select {
	case n.workQueue <- f:
		return nil
	default:
		return errBusy
	}
}

// postAndWait runs work in the loop and waits for it. While the node stops, the work may not be
// run; but it never runs after ask has returned, when the caller reads what it wrote.
func (n *Controller) postAndWait(f func()) {
	done := make(chan struct{})
	n.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-n.loopDone:
	}
}

const (
	minRoundGap         = 40 * time.Millisecond // between two rounds
	maxRoundGap         = 500 * time.Millisecond
	roundGapFactor      = 5 // a round is followed by so many times its own length without one
	maintenanceInterval = 250 * time.Millisecond
)

func (n *Controller) run(ctx context.Context) {
	roundTicker := time.NewTicker(n.options.RoundInterval)
	defer roundTicker.Stop()
	maintenanceTicker := time.NewTicker(maintenanceInterval)
	defer maintenanceTicker.Stop()
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	batchTimer := time.NewTimer(time.Hour)
	defer batchTimer.Stop()
	wakeArmed := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.workQueue:
			f()
			n.drainWork() // whatever else is waiting goes into the same batch
		case r := <-n.requestQueue:
			n.drainWork()
			n.drainRequests(r)
		case <-roundTicker.C:
			n.runScheduler(true)
		case <-maintenanceTicker.C:
			n.runMaintenance()
		case <-wakeTimer.C:
			wakeArmed = false
			n.runScheduler(false)
		case <-batchTimer.C:
		}
		if n.roundRequested && !wakeArmed {
			wakeArmed = true
			wakeTimer.Reset(max(0, n.roundGap-time.Since(n.lastRound)))
		}
		n.flush()
		n.publish()
		if r := n.ownTerm; r != nil && !r.writeInFlight && len(r.queue) > 0 {
			batchTimer.Reset(max(0, batchDelay-time.Since(r.queuedAt)))
		}
	}
}

// isActive tells whether this node leads and may say so.
func (n *Controller) isActive() bool {
	return n.ownTerm != nil && time.Now().Before(n.ownTerm.trustedUntil)
}

// extendTrust sets until when a lead is trusted.
func (n *Controller) extendTrust(term *leaderTerm, until time.Time) {
	term.trustedUntil = until
	term.trustedUntilOffset.Store(int64(until.Sub(n.startTime)))
}

// nextSeq is the log number that an entry appended now will get.
func (r *leaderTerm) nextSeq() uint64 {
	s := r.committedSeq
	if r.writeInFlight {
		s++
	}
	return s + uint64(max(1, len(r.queue)))
}

// propose appends an entry to the log and applies it; it returns its number.
func (n *Controller) propose(entry *model.Entry) uint64 {
	term := n.ownTerm
	data := entry.Append(nil)
	if len(term.queue) == 0 {
		term.queuedAt = time.Now()
	}
	if k := len(term.queue); k == 0 || len(term.queue[k-1])+len(data) > n.oplog.MaxData() {
		term.queue = append(term.queue, nil)
	}
	k := len(term.queue) - 1
	if entry.Kind == model.EntryAccept {
		// Its user waits, and nothing that is queued speaks of it: it goes ahead
		// of bulk.
		for i := range term.queue {
			if len(term.queue[i])+len(data) <= n.oplog.MaxData() {
				k = i
				break
			}
		}
	}
	term.queue[k] = append(term.queue[k], data...)
	seq := term.nextSeq() - uint64(len(term.queue)-1-k)
	term.urgent = term.urgent || n.isUrgent(entry)
	if err := n.model.Apply(entry, seq, n.now()); err != nil {
		n.log.Error("log entry apply failed", "err", err)
	}
	return seq
}

// isUrgent tells whether somebody waits for an entry: a user for an answer, or
// work of high priority for its start. The rest may gather for a while, so that
// the few changes a second that the state service takes carry more, and are left
// for what is urgent.
func (n *Controller) isUrgent(entry *model.Entry) bool {
	switch entry.Kind {
	case model.EntryAccept, model.EntryCancel:
		return true
	case model.EntryPlace:
		j := n.model.Jobs[entry.Job]
		return j != nil && j.Priority >= model.High
	}
	return false
}

// batchDelay is how long entries that are not urgent may wait for others.
const batchDelay = 250 * time.Millisecond

// whenCommitted runs fn once a batch is in the log, or with false once it is
// known that this node can't tell.
func (n *Controller) whenCommitted(seq uint64, onResult func(ok bool)) {
	term := n.ownTerm
	if term == nil {
		onResult(false)
		return
	}
	if seq <= term.committedSeq {
		onResult(true)
		return
	}
	term.commitWaiters = append(term.commitWaiters, commitWaiter{seq, onResult})
}

// flush hands the next batch to the writer when it is free.
func (n *Controller) flush() {
	term := n.ownTerm
	if term == nil || term.writeInFlight || len(term.queue) == 0 {
		return
	}
	if !term.urgent && len(term.queue) == 1 && time.Since(term.queuedAt) < batchDelay {
		return
	}
	batch := oplog.Batch{Seq: term.committedSeq + 1, Term: term.leader.Term, Data: term.queue[0]}
	term.queue = term.queue[1:]
	term.writeInFlight, term.writeStarted = true, time.Now()
	n.metrics.LogBytes.Add(len(batch.Data))
	term.queuedAt = term.writeStarted
	term.urgent = term.urgent && len(term.queue) > 0 // more of it may be there
	term.batches <- batch
}

// stalled tells whether a write has been under way for suspiciously long.
func (r *leaderTerm) stalled() bool {
	return r.writeInFlight && time.Since(r.writeStarted) > 1200*time.Millisecond || len(r.queue) > 16
}

// onCommitted notes that a batch is in the log.
func (n *Controller) onCommitted(term *leaderTerm, seq uint64) {
	if n.ownTerm != term {
		return
	}
	term.committedSeq, term.writeInFlight = seq, false
	n.watermarks.Observe(seq)
	n.metrics.LogWrite.Update(time.Since(term.writeStarted).Seconds())
	n.appliedSeq = seq
	n.model.ForgetCommitted(seq)
	k := 0
	var ready []commitWaiter
	for _, w := range term.commitWaiters {
		if w.seq <= seq {
			ready = append(ready, w)
		} else {
			term.commitWaiters[k] = w
			k++
		}
	}
	clear(term.commitWaiters[k:])
	term.commitWaiters = term.commitWaiters[:k]
	for _, w := range ready {
		w.onResult(true)
	}
	for machine := range term.dirtyAfterCommit {
		term.dirtyMachines[machine] = true
	}
	clear(term.dirtyAfterCommit)
	for machine := range term.dirtyMachines {
		n.sendDirect(machine)
	}
	term.batchesSinceSnapshot++
	if term.batchesSinceSnapshot > n.snapshotInterval && len(term.queue) == 0 && term.snapshots != nil && !n.rolesDistributed() {
		select {
		case term.snapshots <- snapshot{seq, n.model.Snapshot()}:
			term.batchesSinceSnapshot = 0
		default:
		}
	}
}

// followTimeout is how long a watch waits for news.
const followTimeout = 2 * time.Second

// isStoreReachable tells whether a follower is in touch with the state service. What its replica is surely complete up to is no
// measure of that: where nothing happens it lags by two watches, the one that is under way and the one before.
func (n *Controller) isStoreReachable() bool {
	return n.loaded && time.Since(n.lastStoreContact) < followTimeout+linkFreshness
}

// defaultSnapshotInterval is after how many batches the log is compacted.
const defaultSnapshotInterval = 500

// sleep waits for a while, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyBatch applies a batch that others committed. One that is known already is
// passed over.
func (n *Controller) applyBatch(batch oplog.Batch) error {
	if batch.Seq <= n.appliedSeq {
		return nil
	}
	if batch.Seq != n.appliedSeq+1 {
		return fmt.Errorf("batch %d follows %d", batch.Seq, n.appliedSeq)
	}
	reader := &codec.Reader{Data: batch.Data}
	for len(reader.Data) > 0 {
		entry, err := model.ReadEntry(reader)
		if err != nil {
			return err
		}
		if j := n.model.Jobs[entry.Job]; entry.Kind == model.EntryCancel && n.loaded && j != nil {
			j.CancelledFrom = n.caughtUpAt.Sub(n.startTime) // it was complete then, without this
		}
		if err := n.model.Apply(entry, batch.Seq, n.now()); err != nil {
			n.log.Error("log entry apply failed", "seq", batch.Seq, "err", err)
		}
	}
	n.appliedSeq = batch.Seq
	n.watermarks.Observe(batch.Seq)
	n.model.ForgetCommitted(batch.Seq)
	return nil
}

// applyUpdate takes in what a watch saw.
func (n *Controller) applyUpdate(update *oplog.Update, sentAt time.Time) bool {
	for _, b := range update.Batches {
		if err := n.applyBatch(b); err != nil {
			n.log.Warn("replica out of sync, reloading", "err", err)
			n.loaded = false
			return false
		}
	}
	if update.LeaderChanged {
		n.leader = update.Leader
	}
	n.caughtUpAt, n.lastStoreContact = sentAt, time.Now()
	return true
}
