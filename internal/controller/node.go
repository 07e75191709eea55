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
	Beta       float64
	Threshold  float64
	WaitRounds int
	Round      time.Duration
	Metrics    string // address of the operators' page; "": none
	Operate    string // address where operators' questions are answered; "": none
	Duties     bool   // duties are held one by one, by whichever node does them best, once all nodes have this
}

// termBits is how many low bits of a token are a machine's own.
const termBits = 24

// Node is a controller.
type Node struct {
	via     host.Net
	set     *config.Settings
	opt     Options
	log     *slog.Logger
	start   time.Time
	state   *kvstore.Client
	oplog   *oplog.Log
	cloud   *cloud.Client
	worker  *agent.Client
	links   map[string]*rpc.Link
	stand   *stand
	traffic rpc.Traffic
	crowd   *api.Crowd
	// relaying is this node's part in ending workers' connections for the leader.
	relaying *relaying
	intake   *rate.Limiter // of jobs taken without the leader
	stats    *metrics.Stats
	work     chan func()
	// requests is what users want of the loop; it waits for all that is in work.
	requests chan request
	stands   atomic.Pointer[standing]
	ended    chan struct{} // closed when the loop runs no more
	ctx      context.Context

	// Owned by the loop.
	m         *model.Model
	gate      admission.Gate // for new jobs
	loaded    bool
	applied   uint64 // last batch applied (follower) or committed (leader)
	sched     *scheduler.Sched
	fleet     *autoscaler.Fleet
	role      *role // nil: follower
	leader    *oplog.Leader
	caught    time.Time            // the replica was complete then
	inTouch   time.Time            // the state service answered a watch, or the load, then
	past      commitfence.Past     // what this process has ever seen of the log
	vouched   time.Time            // the other controllers showed that nothing this node lacks was confirmed by then
	asksPast  time.Time            // when they were last asked
	loads     int                  // how often the copy was thrown away
	book      *lease.Book          // whose lease this process renewed when; it outlives the lead
	keepUntil map[string]time.Time // workers that don't reach the leader, and until when they are not sent to it
	keptSwept time.Time            // when keepUntil and cleared were last swept
	cleared   cleared              // machines that came here and hold nothing of a cancelled job
	apartSaid time.Time            // when this node last told the leader that it does not reach it
	snapEvery int                  // batches between two snapshots
	// spreadOver is with more than how many machines workers are spread over the nodes; tests change it.
	spreadOver int
	probesMost int // silent machines of a zone that are asked at once; tests change it
	asksMost   int // machines that are asked at once because of what they said
	dirty      bool
	lastRound  time.Time
	gap        time.Duration // between rounds that events wake

	duties *duties // nil: the leader does all of it

	explaining atomic.Bool // only who has set it
	explained  model.Time  // reads and writes this: when last

	readyFlag atomic.Bool
	usual     atomic.Int64 // how long the leader takes to answer a submission, averaged
	beat      atomic.Int64 // when the loop was last seen to run
	catchMu   sync.Mutex
	catching  *catch
}

// role is what a leader has.
type role struct {
	ld            oplog.Leader
	until         time.Time    // the lead is trusted until then
	trust         atomic.Int64 // the same, for others than the loop
	committed     uint64
	writing       bool
	wroteAt       time.Time
	queue         [][]byte // batches not yet handed to the writer; the last one grows
	urgent        bool     // the queue holds what somebody waits for
	queuedAt      time.Time
	batches       chan oplog.Batch
	waiters       []waiter
	placeFrom     time.Time
	lowMost       int // low tasks to be placed in a round
	sinceSnap     int
	compact       chan snapshot
	hires         int
	orders        map[string]provisioner.Order // rentals that are asked for, by name
	desk          *provisioner.Desk
	cancel        context.CancelFunc
	ctx           context.Context
	lastFleet     time.Time
	lastSummary   time.Time
	lastLate      time.Time
	said          map[model.JobID]pending.Code // why jobs wait, as logged
	cloudDown     bool                         // it did not list the machines when last asked
	touched       map[*model.Machine]bool      // have something to be told
	later         map[*model.Machine]bool      // will have, once the log has it
	cutUntil      map[int32]model.Time         // zones that are cut off, or were until recently
	apart         map[string]*apart            // what was seen of nodes that this one does not reach
	asking        bool                         // which nodes are apart
	lastAsked     time.Time
	askedRenewals time.Time       // when the others were last asked whose lease they renewed
	heard         model.Time      // when any machine was last heard of
	unheard       time.Time       // since when hardly any machine is heard of; zero: some are
	dropping      map[uint64]bool // jobs of the intake that the log has, whose records are being deleted
	drops         []uint64        // those of them that may go now
	dropBusy      bool
	lookAgain     bool               // at the intake, after that
	leaving       bool               // the lead is being handed over
	line          candidacy.Timeline // of the takeover
	lineSaid      bool
	errs          chan error
	probesMost    int                     // silent machines of a zone that are asked at once
	inVain        map[*model.Machine]bool // asked, without an answer, and not heard of in this term
	zones         map[int32]*zoneAsked    // what came of asking, by zone
	strangers     map[string]bool         // machines that nobody knows, and that are being asked
	asks          int                     // machines that are being asked because of what they said
	reports       int                     // how often any machine was heard of in this term
	seats         *relay.Table            // through which node each machine reports
	open          []bool                  // nodes that take more workers, by their index in the table
	offered       []model.Time            // when they last offered to be relays; 0: never
	sweptAt       model.Time              // when the table was last swept
}

type snapshot struct {
	seq  uint64
	data []byte
}

type waiter struct {
	seq uint64
	fn  func(ok bool)
}

// New makes a node.
func New(via host.Net, set *config.Settings, opt Options, logger *slog.Logger) *Node {
	p := &set.Params
	members := float64(len(set.Members) + 1)
	n := &Node{
		via: via, set: set, opt: opt, log: logger, start: time.Now(),
		state:  kvstore.New(via, set.Endpoints.State, max(4, p.State.RPS/members*0.95)),
		cloud:  cloud.New(via, set.Endpoints.Cloud, p.Cloud.RPS*0.8),
		worker: agent.New(via, ordersWithin, max(32, p.Limits.MaxSockets/3)),
		stats:  metrics.New(api.Kinds...),
		links:  map[string]*rpc.Link{}, work: make(chan func(), 512), requests: make(chan request, requestsAtOnce), ended: make(chan struct{}), keepUntil: map[string]time.Time{},
	}
	n.intake = rate.NewLimiter(rate.Limit(p.State.WriteRPS*0.2/members), max(1, int(p.State.WriteRPS*0.4/members)))
	n.oplog = oplog.New(n.state, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps, logger)
	for _, m := range set.Members {
		n.links[m.Node] = rpc.NewLink(via, m.Node, m.Addr, logger)
		n.links[m.Node].Traffic = &n.traffic
	}
	n.stand = newStand(set, n.links, n.now)
	// Sockets: six parts in ten for who comes, a third for commands and questions to workers, the rest for the
	// state service, the cloud, the other controllers and what is just closing.
	n.crowd = &api.Crowd{Most: max(32, p.Limits.MaxSockets*6/10)}
	n.relaying = newRelaying(n.crowd.Most, p.Limits.MaxSockets)
	n.book = lease.NewBook(n.now())
	n.gap, n.snapEvery = minGap, snapEvery
	n.spreadOver = n.crowd.Most * 3 / 4
	n.probesMost, n.asksMost = probesOfZone(p.Limits.MaxSockets, len(p.Zones)), asksAtOnce(p.Limits.MaxSockets)
	if opt.Duties {
		n.duties = newDuties(set.Node)
	}
	n.reset()
	n.publish()
	return n
}

func (n *Node) reset() {
	n.m = model.New(&n.set.Params)
	n.applied, n.loaded, n.role = 0, false, nil
	n.cleared = cleared{} // machines' numbers are the log's, but those that are gone need not be kept
	n.loads++
}

func (n *Node) now() model.Time { return time.Since(n.start) }

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ln, err := n.via.Listen(n.set.Bind)
	if err != nil {
		return err
	}
	pln, err := n.via.Listen(n.set.PeerListen)
	if err != nil {
		return err
	}
	var mln net.Listener
	if n.opt.Metrics != "" {
		if mln, err = n.via.Listen(n.opt.Metrics); err != nil {
			return err
		}
	}
	var oln net.Listener
	if n.opt.Operate != "" {
		if oln, err = n.via.Listen(n.opt.Operate); err != nil {
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
	run("loop", func() error { defer close(n.ended); n.loop(ctx); return nil })
	run("storage", func() error { n.storage(ctx); return nil })
	run("peers", func() error { return rpc.Serve(ctx, pln, n.answerPeer, &n.traffic, n.log) })
	if n.duties != nil {
		run("duties", func() error { n.watchDuties(ctx); return nil })
	} else {
		run("duties", func() error { n.leaveDuties(ctx); return nil })
	}
	for _, l := range n.links {
		run("link", func() error { l.Run(ctx); return nil })
	}
	run("api", func() error {
		return api.Serve(ctx, ln, n.crowd, api.Handler(n, n.log, n.crowd, n.stats.Answered), n.log)
	})
	if mln != nil {
		run("metrics", func() error { return api.Serve(ctx, mln, &api.Crowd{Most: metricsConns}, n.stats.Page(n.look), n.log) })
	}
	if oln != nil {
		run("operate", func() error { return adminapi.Serve(ctx, oln, n, n.log) })
	}
	n.log.Info("started", "node", n.set.Node, "zone", n.set.Zone, "bind", n.set.Bind, "pid", os.Getpid())
	<-ctx.Done()
	if n.duties != nil {
		<-n.ended
		n.endDuties()
	}
	n.state.Close()
	n.cloud.Close()
	n.worker.Close()
	return context.Cause(ctx)
}

// metricsConns bounds the connections to the operators' page.
const metricsConns = 4

// look tells how this node stands, for the operators' page, unless it is too busy.
func (n *Node) look() (v metrics.View, ok bool) {
	ch := make(chan metrics.View, 1)
	if n.offer(func() { ch <- n.viewed() }) != nil {
		return v, false
	}
	select {
	case v = <-ch:
		return v, true
	case <-time.After(time.Second):
	case <-n.ctx.Done():
	}
	return v, false
}

func (n *Node) viewed() metrics.View {
	v := metrics.View{Leads: n.active(), Applied: n.applied, Jobs: len(n.m.Jobs)}
	if n.leader != nil {
		v.Term = n.leader.Term
	}
	v.Rentals = len(n.m.Intents)
	v.PeerFrames, v.PeerBytes, v.PeerWrites = n.traffic.Frames.Load(), n.traffic.Bytes.Load(), n.traffic.Writes.Load()
	if n.role != nil {
		v.Seats = n.role.seats.Counts()[relay.Leader]
	}
	if d := n.duties; d != nil {
		v.Rents, v.Cleans = d.keepers[singleton.Rent].Trusted(n.now()), d.keepers[singleton.Clean].Trusted(n.now())
	}
	v.WorstClass, v.WorstTeam = 1, 1
	if n.role != nil {
		v.WorstClass, v.OwedClasses = n.sched.WorstClass()
		v.WorstTeam, v.OwedTeams = n.sched.WorstTeam()
	}
	for _, j := range n.m.Jobs {
		v.Waiting, v.Running = v.Waiting+j.Waiting(), v.Running+j.Live
	}
	for _, mc := range n.m.Order {
		switch {
		case mc.Releasing:
			v.Returning++
		case mc.Suspect:
			v.Suspect++
		case n.role == nil: // a replica does not know which are up
		case !mc.Reported:
			v.Booting++
		default:
			v.Up++
			if len(mc.Runs) == 0 {
				v.Idle++
			}
		}
	}
	return v
}

// errBusy says that the loop is behind: the request is refused at once.
var errBusy = errors.New("controller: busy")

// post hands work to the loop without waiting for it.
func (n *Node) post(f func()) {
	select {
	case n.work <- f:
	case <-n.ctx.Done():
	}
}

// offer hands a user's or worker's work to the loop, unless it is far behind.
func (n *Node) offer(f func()) error {
	select {
	case n.work <- f:
		return nil
	default:
		return errBusy
	}
}

// ask runs work in the loop and waits for it. While the node stops, the work may not be
// run; but it never runs after ask has returned, when the caller reads what it wrote.
func (n *Node) ask(f func()) {
	done := make(chan struct{})
	n.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-n.ended:
	}
}

const (
	minGap     = 40 * time.Millisecond // between two rounds
	maxGap     = 500 * time.Millisecond
	gapTimes   = 5 // a round is followed by so many times its own length without one
	houseEvery = 250 * time.Millisecond
)

func (n *Node) loop(ctx context.Context) {
	round := time.NewTicker(n.opt.Round)
	defer round.Stop()
	house := time.NewTicker(houseEvery)
	defer house.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	gathered := time.NewTimer(time.Hour)
	defer gathered.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-n.work:
			f()
			n.takeWork() // whatever else is waiting goes into the same batch
		case r := <-n.requests:
			n.takeWork()
			n.takeRequests(r)
		case <-round.C:
			n.round(true)
		case <-house.C:
			n.housekeep()
		case <-wake.C:
			armed = false
			n.round(false)
		case <-gathered.C:
		}
		if n.dirty && !armed {
			armed = true
			wake.Reset(max(0, n.gap-time.Since(n.lastRound)))
		}
		n.flush()
		n.publish()
		if r := n.role; r != nil && !r.writing && len(r.queue) > 0 {
			gathered.Reset(max(0, gather-time.Since(r.queuedAt)))
		}
	}
}

// active tells whether this node leads and may say so.
func (n *Node) active() bool {
	return n.role != nil && time.Now().Before(n.role.until)
}

// trustUntil sets until when a lead is trusted.
func (n *Node) trustUntil(r *role, until time.Time) {
	r.until = until
	r.trust.Store(int64(until.Sub(n.start)))
}

// seq is the log number that an entry appended now will get.
func (r *role) seq() uint64 {
	s := r.committed
	if r.writing {
		s++
	}
	return s + uint64(max(1, len(r.queue)))
}

// propose appends an entry to the log and applies it; it returns its number.
func (n *Node) propose(e *model.Entry) uint64 {
	r := n.role
	b := e.Append(nil)
	if len(r.queue) == 0 {
		r.queuedAt = time.Now()
	}
	if k := len(r.queue); k == 0 || len(r.queue[k-1])+len(b) > n.oplog.MaxData() {
		r.queue = append(r.queue, nil)
	}
	k := len(r.queue) - 1
	if e.Kind == model.EntryAccept {
		// Its user waits, and nothing that is queued speaks of it: it goes ahead
		// of bulk.
		for i := range r.queue {
			if len(r.queue[i])+len(b) <= n.oplog.MaxData() {
				k = i
				break
			}
		}
	}
	r.queue[k] = append(r.queue[k], b...)
	seq := r.seq() - uint64(len(r.queue)-1-k)
	r.urgent = r.urgent || n.isUrgent(e)
	if err := n.m.Apply(e, seq, n.now()); err != nil {
		n.log.Error("entry does not apply", "err", err)
	}
	return seq
}

// isUrgent tells whether somebody waits for an entry: a user for an answer, or
// work of high priority for its start. The rest may gather for a while, so that
// the few changes a second that the state service takes carry more, and are left
// for what is urgent.
func (n *Node) isUrgent(e *model.Entry) bool {
	switch e.Kind {
	case model.EntryAccept, model.EntryCancel:
		return true
	case model.EntryPlace:
		j := n.m.Jobs[e.Job]
		return j != nil && j.Priority >= model.High
	}
	return false
}

// gather is how long entries that are not urgent may wait for others.
const gather = 250 * time.Millisecond

// whenCommitted runs fn once a batch is in the log, or with false once it is
// known that this node can't tell.
func (n *Node) whenCommitted(seq uint64, fn func(ok bool)) {
	r := n.role
	if r == nil {
		fn(false)
		return
	}
	if seq <= r.committed {
		fn(true)
		return
	}
	r.waiters = append(r.waiters, waiter{seq, fn})
}

// flush hands the next batch to the writer when it is free.
func (n *Node) flush() {
	r := n.role
	if r == nil || r.writing || len(r.queue) == 0 {
		return
	}
	if !r.urgent && len(r.queue) == 1 && time.Since(r.queuedAt) < gather {
		return
	}
	b := oplog.Batch{Seq: r.committed + 1, Term: r.ld.Term, Data: r.queue[0]}
	r.queue = r.queue[1:]
	r.writing, r.wroteAt = true, time.Now()
	n.stats.LogBytes.Add(len(b.Data))
	r.queuedAt = r.wroteAt
	r.urgent = r.urgent && len(r.queue) > 0 // more of it may be there
	r.batches <- b
}

// stalled tells whether a write has been under way for suspiciously long.
func (r *role) stalled() bool {
	return r.writing && time.Since(r.wroteAt) > 1200*time.Millisecond || len(r.queue) > 16
}

// committedTo notes that a batch is in the log.
func (n *Node) committedTo(r *role, seq uint64) {
	if n.role != r {
		return
	}
	r.committed, r.writing = seq, false
	n.past.Saw(seq)
	n.stats.Write.Update(time.Since(r.wroteAt).Seconds())
	n.applied = seq
	n.m.Forget(seq)
	k := 0
	var ready []waiter
	for _, w := range r.waiters {
		if w.seq <= seq {
			ready = append(ready, w)
		} else {
			r.waiters[k] = w
			k++
		}
	}
	clear(r.waiters[k:])
	r.waiters = r.waiters[:k]
	for _, w := range ready {
		w.fn(true)
	}
	for mc := range r.later {
		r.touched[mc] = true
	}
	clear(r.later)
	for mc := range r.touched {
		n.direct(mc)
	}
	r.sinceSnap++
	if r.sinceSnap > n.snapEvery && len(r.queue) == 0 && r.compact != nil && !n.spread() {
		select {
		case r.compact <- snapshot{seq, n.m.Snapshot()}:
			r.sinceSnap = 0
		default:
		}
	}
}

// followFor is how long a watch waits for news.
const followFor = 2 * time.Second

// reaches tells whether a follower is in touch with the state service. What its replica is surely complete up to is no
// measure of that: where nothing happens it lags by two watches, the one that is under way and the one before.
func (n *Node) reaches() bool { return n.loaded && time.Since(n.inTouch) < followFor+linkFresh }

// snapEvery is after how many batches the log is compacted.
const snapEvery = 500

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// applyBatch applies a batch that others committed. One that is known already is
// passed over.
func (n *Node) applyBatch(b oplog.Batch) error {
	if b.Seq <= n.applied {
		return nil
	}
	if b.Seq != n.applied+1 {
		return fmt.Errorf("batch %d follows %d", b.Seq, n.applied)
	}
	r := &codec.Reader{B: b.Data}
	for len(r.B) > 0 {
		e, err := model.ReadEntry(r)
		if err != nil {
			return err
		}
		if j := n.m.Jobs[e.Job]; e.Kind == model.EntryCancel && n.loaded && j != nil {
			j.CancelledFrom = n.caught.Sub(n.start) // it was complete then, without this
		}
		if err := n.m.Apply(e, b.Seq, n.now()); err != nil {
			n.log.Error("entry does not apply", "batch", b.Seq, "err", err)
		}
	}
	n.applied = b.Seq
	n.past.Saw(b.Seq)
	n.m.Forget(b.Seq)
	return nil
}

// tail takes in what a watch saw.
func (n *Node) tail(t *oplog.Tail, sent time.Time) bool {
	for _, b := range t.Batches {
		if err := n.applyBatch(b); err != nil {
			n.log.Warn("log out of step, reading it anew", "err", err)
			n.loaded = false
			return false
		}
	}
	if t.LeaderKnown {
		n.leader = t.Leader
	}
	n.caught, n.inTouch = sent, time.Now()
	return true
}
