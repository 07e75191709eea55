package controller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/internal/scheduling/scheduler"
)

// This file is the takeover: how a node follows the log, stands for election, and what it does from its election to the
// first decision and at the end of its lead.

// storage keeps the replica up to date, and leads when elected.
func (n *Node) storage(ctx context.Context) {
	failing := false
	var abstain time.Time // this node does not stand for election until then
	for ctx.Err() == nil {
		rev, err := n.load(ctx)
		if err != nil {
			if !failing { // once for an outage, not for every try
				n.log.Warn("can't read the log, trying on", "err", err)
			}
			failing = true
			pause(ctx, 300*time.Millisecond)
			continue
		}
		failing = false
		for ctx.Err() == nil {
			var leader *oplog.Leader
			n.ask(func() { leader = n.leader })
			if n.endOwn(ctx, leader) {
				leader = nil
				n.ask(func() { n.leader = nil })
			}
			hold := followFor
			may, again := n.stand.may(leader != nil)
			if leader == nil && !may {
				hold = again // a warm one may take the lead; if none does, this one has to
			}
			if may && time.Now().After(abstain) {
				won, err := election.Acquire(ctx, n.state, n.set.Node, n.log)
				if err == nil {
					err := n.serveTerm(ctx, won)
					if err != nil && ctx.Err() == nil {
						n.log.Info("lead ended", "term", won.Term, "err", err)
					}
					if errors.Is(err, errUnheard) {
						abstain = time.Now().Add(abstainFor)
						_ = n.state.Revoke(ctx, won.Lease) // it ends by itself otherwise
					}
					break // read everything anew
				}
				if !errors.Is(err, election.ErrTaken) {
					pause(ctx, 200*time.Millisecond)
				}
			}
			sent := time.Now()
			t, err := n.oplog.Follow(ctx, rev, hold)
			if err != nil {
				n.log.Debug("watch failed", "err", err)
				pause(ctx, 250*time.Millisecond)
				break
			}
			rev = t.Revision
			ok := true
			n.ask(func() { ok = n.tail(t, sent) })
			if !ok {
				break
			}
			if !t.LeaderKnown || t.Leader != nil {
				pause(ctx, 100*time.Millisecond) // news come together, not one by one
			}
		}
	}
}

// errUnheard ends the term of a leader that the machines don't reach, while other
// controllers do: one of them leads better.
var errUnheard = errors.New("controller: hardly any machine is heard of")

// abstainFor is how long a node leaves the lead to others after that. If none of
// them takes it, this one does again.
const abstainFor = 10 * time.Second

// endOwn ends the lease of a lead that names this node while this process does not lead, and tells whether it did: an
// earlier process led and is dead, or the transaction by which it, or this one, asked for the lead was carried out after
// nobody waited for it any more. The others would wait for three seconds. Only the storage's goroutine calls it, in whose
// hands a lead of this process is from its election to its end.
func (n *Node) endOwn(ctx context.Context, ld *oplog.Leader) bool {
	if ld == nil || ld.Node != n.set.Node {
		return false
	}
	n.log.Info("ending the lease of this node's earlier process", "term", ld.Term)
	n.stand.sawLeader()
	return n.state.Revoke(ctx, ld.Lease) == nil
}

// load reads the log and replaces the replica.
func (n *Node) load(ctx context.Context) (rev uint64, err error) {
	sent := time.Now()
	got, err := n.oplog.Load(ctx)
	if err != nil {
		return 0, err
	}
	if n.endOwn(ctx, got.Leader) {
		got.Leader = nil
	}
	last := got.SnapSeq + uint64(len(got.Batches))
	n.ask(func() {
		// A request may have read the log's end after this load did. The replica
		// must not go back, or that request is given an older answer.
		if n.loaded && n.applied >= last {
			n.leader, n.inTouch = got.Leader, time.Now()
			return
		}
		n.reset()
		now := n.now()
		if got.SnapSeq > 0 {
			if err = n.m.Restore(got.Snapshot, got.SnapSeq, now); err != nil {
				return
			}
		}
		n.applied = got.SnapSeq
		n.past.Saw(got.SnapSeq)
		for _, b := range got.Batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
		n.leader, n.caught, n.inTouch, n.loaded = got.Leader, sent, time.Now(), true
		n.log.Info("log read", "batches", len(got.Batches), "snapshot", got.SnapSeq, "jobs", len(n.m.Jobs), "machines", len(n.m.Order))
	})
	return got.Revision, err
}

// serveTerm leads until the lead is lost.
func (n *Node) serveTerm(ctx context.Context, won *election.Won) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &role{
		ld: won.Leader, batches: make(chan oplog.Batch, 1), compact: make(chan snapshot, 1),
		orders: map[string]provisioner.Order{}, cancel: cancel, ctx: ctx, touched: map[*model.Machine]bool{},
		later: map[*model.Machine]bool{}, cutUntil: map[int32]model.Time{}, apart: map[string]*apart{},
		dropping: map[uint64]bool{}, probesMost: n.probesMost, inVain: map[*model.Machine]bool{},
		zones: map[int32]*zoneAsked{}, strangers: map[string]bool{},
	}
	if since, vacant := n.stand.since(); vacant {
		r.line.Mark(candidacy.Noticed, since)
	}
	r.line.Mark(candidacy.Elected, n.now())
	n.trustUntil(r, won.Until)
	errs := make(chan error, 4)
	r.errs = errs
	go func() {
		errs <- election.Keep(ctx, n.state, won, func(until time.Time) {
			n.post(func() {
				if r.leaving {
					return
				}
				n.trustUntil(r, until)
				if n.role == r {
					n.caught = until.Add(-election.Trust)
				}
			})
		})
	}()
	defer n.ask(func() { n.stepDown(r) })
	var after uint64
	n.ask(func() { after = n.applied })
	var batches []oplog.Batch
	var in []oplog.Intake
	var rev uint64
	err := insist(ctx, errs, func() (err error) { batches, err = n.oplog.Since(ctx, after); return err })
	if err != nil {
		return err
	}
	r.line.Mark(candidacy.LogRead, n.now())
	// Before anything is answered the leader knows every job that was accepted
	// without one.
	if err := insist(ctx, errs, func() (err error) { in, rev, err = n.oplog.ListIntake(ctx); return err }); err != nil {
		return err
	}
	n.ask(func() {
		for _, b := range batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
		n.takeLead(r)
		n.takeIn(r, in)
	})
	if err != nil {
		return err
	}
	go n.watchIntake(r, rev)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-r.batches:
				if err := n.oplog.Append(ctx, &r.ld, b); err != nil {
					errs <- err
					return
				}
				n.post(func() { n.committedTo(r, b.Seq) })
			}
		}
	}()
	go func() {
		c := n.oplog.Compactor(r.ld.Fence())
		// What earlier terms left uncompacted counts too, or a log whose leaders change often
		// would grow without bound.
		if seq, err := c.InForce(ctx); err == nil {
			n.post(func() { r.sinceSnap = int(r.committed - seq) })
		}
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-r.compact:
				switch err := c.Compact(ctx, s.seq, s.data); {
				case errors.Is(err, oplog.ErrDeposed):
					errs <- err
					return
				case err != nil && ctx.Err() == nil:
					n.log.Warn("log not compacted, the old snapshot stays", "seq", s.seq, "bytes", len(s.data), "err", err)
				default:
					n.log.Debug("log compacted", "seq", s.seq, "bytes", len(s.data), "err", err)
				}
			}
		}
	}()
	return <-errs
}

// insist repeats a read until it works, the lead is lost, or the context ends.
func insist(ctx context.Context, lost <-chan error, read func() error) error {
	for {
		if read() == nil {
			return nil
		}
		select {
		case err := <-lost:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *Node) takeLead(r *role) {
	n.role = r
	n.leader = &r.ld
	r.committed = n.applied
	r.sinceSnap = 0
	n.m.BeginTerm(r.ld.Term<<termBits, n.now())
	n.sched = scheduler.New(scheduler.Params{Beta: n.opt.Beta, Threshold: n.opt.Threshold, WaitRounds: n.opt.WaitRounds, Objectives: n.set.Params.Objectives})
	n.fleet = autoscaler.New(n.set.Params.Objectives)
	r.desk = n.newDesk(r.ctx, func() bool { return n.now() < model.Time(r.trust.Load()) }, func(o provisioner.Outcome) {
		if n.role == r {
			n.cloudSaid(r, &o)
		}
	})
	// Machines that worked for the last leader report within this time.
	r.placeFrom = time.Now().Add(config.Seconds(n.set.Params.Workers.ReportS * 1.25))
	r.line.Mark(candidacy.Leads, n.now())
	n.dirty = true
	r.heard, r.lowMost = n.now(), lowMany
	cell := len(n.set.Members) + 1
	r.seats, r.open, r.offered = relay.NewTable(cell), make([]bool, cell), make([]model.Time, cell)
	n.tendSeats(r)
	n.askAll()
	n.stats.Terms.Inc()
	n.log.Info("leading", "term", r.ld.Term, "seq", n.applied, "jobs", len(n.m.Jobs), "machines", len(n.m.Order))
}

func (n *Node) stepDown(r *role) {
	r.cancel()
	if n.role != r {
		return
	}
	n.reset()
	n.leader = nil
	for _, w := range r.waiters {
		w.fn(false)
	}
	r.waiters = nil
}

// allReported tells whether every machine with work has reported to this leader, or was asked
// in vain: it hangs, is gone or can't be reached, gets nothing new, and what it holds counts
// as placed all the same. Among a thousand machines there is always one, and for it a new
// leader placed nothing for a whole report period.
func (n *Node) allReported() bool {
	for _, mc := range n.m.Order {
		if !mc.Reported && len(mc.Runs) > 0 && !mc.Suspect && !n.role.inVain[mc] && !n.role.asked(mc.Zone).mute.Load() {
			return false
		}
	}
	return len(n.m.Order) > 0
}

// zoneAsked is what came of asking the machines of a zone, and of their reports, in this term.
type zoneAsked struct {
	heard, vain int
	mute        atomic.Bool // some were asked in vain, and none was heard of
	probes      slots       // silent machines that are being asked
}

// muteAfter is after how many machines of a zone that were asked in vain, while none was heard of, the rest of it is not waited for: it is cut off, most
// likely, and a third of a large fleet took ten seconds to be asked, while answers of other zones waited behind it.
const muteAfter = 5

func (r *role) asked(zone int32) *zoneAsked {
	z := r.zones[zone]
	if z == nil {
		z = &zoneAsked{probes: make(slots, r.probesMost)}
		r.zones[zone] = z
	}
	return z
}

// note counts a machine of a zone that was heard of, or asked in vain. Where nothing is heard of other zones either, it
// may be this node that is late.
func (r *role) note(z *zoneAsked, heard bool) {
	if heard {
		z.heard++
		r.reports++
	} else {
		z.vain++
	}
	z.mute.Store(z.heard == 0 && z.vain >= muteAfter && r.reports >= muteAfter)
}

// askAll asks all machines with work how they are. A new leader places nothing
// before it has heard of them, and many of their workers take a report period and
// longer to find it.
func (n *Node) askAll() {
	for _, mc := range n.m.Order {
		if len(mc.Runs) > 0 && !mc.Suspect {
			n.probe(mc, true)
		}
	}
}

// sayTakeover tells once how long each part of the takeover took, when all have come or no more are waited for.
func (n *Node) sayTakeover(r *role) {
	if r.lineSaid || !r.line.Whole() && time.Since(r.placeFrom) < takeoverOver {
		return
	}
	r.lineSaid = true
	args := []any{"term", r.ld.Term}
	for p := range candidacy.Parts {
		if after, came := r.line.After(p); came {
			args = append(args, p.String(), after)
			n.stats.Takeover(p, after.Seconds())
		}
	}
	n.log.Info("took over", args...)
}

// takeoverOver is how long after the time for all machines a takeover is told of, though parts of it did not come:
// nothing waited for a place.
const takeoverOver = 5 * time.Second
