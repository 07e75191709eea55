package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// This file carries out what the keepers of duties ask for, and does the duties that this node holds: it deals with
// the cloud by a desk, and compacts the log. What either needs of the model is in every replica; what comes of it
// goes to the leader, under the duty's term, and the leader alone writes the log.

// duties are this node's parts in them; the loop owns them.
type duties struct {
	keepers [singleton.Names]*singleton.Keeper
	heard   bool            // the keys were read
	parts   map[string]bool // nodes that take part
	held    [singleton.Names]held
	desk    *provisioner.Desk
	cleaner *cleaner
	shared  bool // the write rate is shared with who cleans up
	said    time.Time
}

// held is a duty that this node has begun.
type held struct {
	term   uint64
	cancel context.CancelFunc
	until  atomic.Int64 // trusted until, for others than the loop
}

// cleaner compacts the log while this node has the duty.
type cleaner struct {
	ctx     context.Context
	c       *oplog.Compactor
	inForce uint64
	known   bool // inForce is
	busy    bool
}

// cleanShare is the part of the write rate that who cleans up takes, and logShare what the log has then.
const (
	cleanShare = 0.3
	logShare   = 0.55
	// cleanTerm sets the terms of who cleans up apart from leaders'.
	cleanTerm = 1 << 40
)

func newDuties(node string) *duties {
	d := &duties{parts: map[string]bool{}}
	for i := range d.keepers {
		d.keepers[i] = singleton.New(singleton.Name(i), node, singleton.Usual(singleton.Name(i)))
	}
	return d
}

// spread tells whether duties are held one by one. Where a node does not take part the leader does all of it.
func (n *Node) spread() bool {
	if n.duties == nil || !n.duties.heard || !n.duties.parts[n.set.Node] {
		return false
	}
	return !slices.ContainsFunc(n.set.Members, func(m config.Member) bool { return !n.duties.parts[m.Node] })
}

// watchDuties reads the keys of duties and follows them, until the context ends.
func (n *Node) watchDuties(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.oplog.TakePart(ctx, n.set.Node, true); err == nil {
			break
		}
		pause(ctx, time.Second)
	}
	for ctx.Err() == nil {
		list, rev, err := n.oplog.Duties(ctx)
		if err != nil {
			pause(ctx, 500*time.Millisecond)
			continue
		}
		n.ask(func() { n.seeDuties(list, rev, true) })
		for ctx.Err() == nil {
			list, next, err := n.oplog.FollowDuties(ctx, rev, dutyHold)
			if err != nil {
				n.log.Debug("watch of duties failed", "err", err)
				pause(ctx, 500*time.Millisecond)
				break
			}
			rev = next
			n.ask(func() { n.seeDuties(list, rev, false) })
		}
	}
}

// leaveDuties says that this node takes no part, if an earlier process of it did.
func (n *Node) leaveDuties(ctx context.Context) {
	list, _, err := n.oplog.Duties(ctx)
	if err == nil && slices.ContainsFunc(list, func(c oplog.DutyNews) bool { return c.Part == n.set.Node }) {
		err = n.oplog.TakePart(ctx, n.set.Node, false)
	}
	if err != nil && ctx.Err() == nil {
		n.log.Debug("can't tell that this node takes no part in duties", "err", err)
	}
}

// dutyHold is how long a watch of duties waits for news.
const dutyHold = 10 * time.Second

// seeDuties takes in what the keys say; all: these are all there are.
func (n *Node) seeDuties(list []oplog.DutyNews, rev uint64, all bool) {
	d, now := n.duties, n.now()
	if all {
		clear(d.parts)
		for _, k := range d.keepers {
			if !slices.ContainsFunc(list, func(c oplog.DutyNews) bool { return c.Held == k.Name.String() }) {
				k.Seen(singleton.Holder{Term: rev}, now)
			}
		}
	}
	for _, c := range list {
		if c.Part != "" {
			d.parts[c.Part] = !c.Gone
		}
		for _, k := range d.keepers {
			switch k.Name.String() {
			case c.Held:
				if !d.heard && c.Node == n.set.Node {
					// An earlier process of this node held it; that is dead, so its lease may end now.
					go func() { _ = n.state.Revoke(n.ctx, c.Lease) }()
				}
				k.Seen(singleton.Holder{Node: c.Node, Term: c.Term}, now)
			case c.Stuck:
				k.SeenStuck(c.Count)
			}
		}
	}
	d.heard = true
}

// dutyView is what this node knows of the others.
func (n *Node) dutyView() *singleton.View {
	v := &singleton.View{Ready: n.spread(), Live: []string{n.set.Node}}
	for _, l := range n.links {
		if time.Since(l.Heard()) < linkFresh {
			v.Live = append(v.Live, l.Node)
		}
	}
	slices.Sort(v.Live)
	if n.leader != nil {
		v.Leader = n.leader.Node
	}
	return v
}

// tendDuties has the keepers look at the time, and the duties that are held done.
func (n *Node) tendDuties() {
	d := n.duties
	if d == nil || !d.heard {
		return
	}
	v := n.dutyView()
	if v.Ready != d.shared {
		d.shared = v.Ready
		part := oplog.Usual
		if v.Ready {
			part = logShare // the rest is for who cleans up
		}
		n.oplog.Share(n.set.Params.State.WriteRPS, part)
		n.log.Info("duties are held one by one", "now", v.Ready)
	}
	for _, k := range d.keepers {
		switch now := n.now(); k.Tick(now, v) {
		case singleton.Take:
			n.takeDuty(k)
		case singleton.Renew:
			n.renewDuty(k)
		case singleton.Leave:
			n.leaveDuty(k)
		}
		n.beginOrEnd(k)
	}
	now := n.now()
	if k := d.keepers[singleton.Rent]; k.Trusted(now) && d.desk != nil && (n.loaded || n.role != nil) {
		d.desk.Turn(time.Now(), n.wanted())
	}
	if k := d.keepers[singleton.Clean]; k.Trusted(now) && d.cleaner != nil {
		n.clean(k, d.cleaner)
	}
	if time.Since(d.said) > 20*time.Second {
		d.said = time.Now()
		for _, k := range d.keepers {
			if k.Term() != 0 {
				n.log.Info("duty", "duty", k.Name.String(), "term", k.Term(), "held_for", now-k.Since(), "got_on", now-k.Progress(), "open", len(n.m.Intents))
			}
		}
	}
}

func (n *Node) takeDuty(k *singleton.Keeper) {
	go func() {
		sent := n.now()
		lease, term, err := election.Take(n.ctx, n.state, k.Rules.TTL, oplog.DutyKey(k.Name.String()), n.set.Node, func(lease uint64) *wire.Txn {
			return oplog.TakeDuty(k.Name.String(), n.set.Node, lease)
		}, n.log)
		n.post(func() {
			k.Took(sent, n.now(), lease, term)
			if err != nil && !errors.Is(err, election.ErrTaken) {
				n.log.Debug("duty not taken", "duty", k.Name.String(), "err", err)
			}
			n.beginOrEnd(k)
		})
	}()
}

func (n *Node) renewDuty(k *singleton.Keeper) {
	lease := k.Lease()
	go func() {
		sent := n.now()
		err := n.state.Renew(n.ctx, lease, 1500*time.Millisecond)
		n.post(func() {
			// Also if the hold has ended meanwhile: until it has its answer the keeper asks for nothing else.
			k.Renewed(sent, err == nil, msgpackhttp.Code(err) == http.StatusNotFound)
			n.beginOrEnd(k)
		})
	}()
}

// leaveDuty gives a duty up: what is under way is ended first, then the row of those that got nowhere is written, if this is
// one of them, then the lease is ended and the key goes with it. Whatever of that is late or lost only delays the next holder.
func (n *Node) leaveDuty(k *singleton.Keeper) {
	n.log.Info("giving up a duty", "duty", k.Name.String(), "term", k.Term(), "why", k.Why())
	lease, term, name, stuck, nowhere := k.Lease(), k.Term(), k.Name.String(), k.Stuck(), k.Nowhere()
	k.Left()
	n.beginOrEnd(k)
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
		defer cancel()
		if nowhere {
			if err := n.oplog.PutStuck(ctx, name, term, stuck); err != nil {
				n.log.Debug("can't tell that a duty gets nowhere", "duty", name, "err", err)
			}
		}
		_ = n.state.Revoke(ctx, lease) // it ends by itself otherwise
	}()
}

// endDuties ends the leases of what this node holds, so that the next holders need not wait for them.
func (n *Node) endDuties() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), time.Second)
	defer cancel()
	for _, k := range n.duties.keepers {
		if k.Term() != 0 {
			_ = n.state.Revoke(ctx, k.Lease())
		}
	}
}

// beginOrEnd has the work of a duty follow the hold of it.
func (n *Node) beginOrEnd(k *singleton.Keeper) {
	h := &n.duties.held[k.Name]
	h.until.Store(int64(k.Until()))
	if h.term == k.Term() {
		return
	}
	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
		n.log.Info("duty ended", "duty", k.Name.String(), "term", h.term, "why", k.Why())
	}
	switch k.Name {
	case singleton.Rent:
		n.duties.desk = nil
	case singleton.Clean:
		n.duties.cleaner = nil
	}
	if h.term = k.Term(); h.term == 0 {
		return
	}
	n.log.Info("duty begun", "duty", k.Name.String(), "term", h.term, "node", n.set.Node)
	ctx, cancel := context.WithCancel(n.ctx)
	h.cancel = cancel
	switch k.Name {
	case singleton.Rent:
		term := h.term
		n.duties.desk = n.newDesk(ctx, func() bool { return int64(n.now()) < h.until.Load() }, func(o provisioner.Outcome) {
			if k.Term() == term {
				n.tellCloud(ctx, k, term, &o)
			}
		})
	case singleton.Clean:
		n.duties.cleaner = n.newCleaner(ctx, k, h.term)
	}
}

// wanted is what the log says is to be done at the cloud, as far as this node has it for sure.
func (n *Node) wanted() provisioner.Want {
	surely := n.applied
	if n.role != nil {
		surely = n.role.committed
	}
	w := provisioner.Want{NoTypes: !n.m.TypesKnown()}
	for _, i := range n.m.Intents {
		if i.Seq <= surely {
			w.Hires = append(w.Hires, provisioner.Order{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot, Count: i.Count})
		}
	}
	for _, mc := range n.m.Order {
		if mc.Releasing && mc.ReleaseSeq <= surely {
			w.Returns = append(w.Returns, mc.Info.Name)
		}
	}
	return w
}

// got notes that a duty got on, and writes so where those before it did not.
func (n *Node) got(k *singleton.Keeper) {
	if term := k.Term(); k.Got(n.now()) {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
			defer cancel()
			_ = n.oplog.PutStuck(ctx, k.Name.String(), term, 0) // else patience stays long for a while
		}()
	}
}

// tellCloud tells the leader what came of a request to the cloud. If it is not heard, the desk tells it again for as long as the
// log shows it as open.
func (n *Node) tellCloud(ctx context.Context, k *singleton.Keeper, term uint64, o *provisioner.Outcome) {
	if o.Kind != provisioner.Away {
		n.got(k)
	}
	if n.role != nil {
		if n.active() {
			n.cloudSaid(n.role, o)
		}
		return
	}
	parts := []*provisioner.Outcome{o}
	if o.Kind == provisioner.Listed { // only what the leader does not know from the log
		o.Rows = slices.DeleteFunc(o.Rows, func(l wire.ListedMachine) bool {
			mc := n.m.ByName[l.Name]
			return n.m.Tombs[l.Name] || mc != nil && mc.Info.Addr != "" && (l.State != wire.MachineFailed || mc.Releasing)
		})
		parts = provisioner.ListedInParts(o.Rows, mostListed)
	}
	name := k.Name.String()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tellWithin)
		defer cancel()
		for _, part := range parts { // what the leader has no time for is in the next list as well
			call := &rpc.Call{Op: rpc.OpDuty, ID: name, Body: part.Append(codec.Uint(nil, term))}
			if r, ok := n.passOn(ctx, call, time.Second); !ok || r.Status != http.StatusOK {
				n.log.Debug("the leader was not told what came of a request to the cloud", "kind", part.Kind)
				return
			}
		}
	}()
}

// mostListed is how many bytes of rows a part of a list has, with room for what else is in the frame, and tellWithin is
// how long the leader may take for all that is told at once: then the next list is due.
const (
	mostListed = rpc.MostBody - 1<<10
	tellWithin = 3 * time.Second
)

// heardOfDuty takes in what the holder of a duty says. Only the present one is believed.
func (n *Node) heardOfDuty(ctx context.Context, c *rpc.Call) *rpc.Reply {
	r := &codec.Reader{B: c.Body}
	term := r.Uint()
	if r.Err != nil {
		return api.Refuse(http.StatusBadRequest, "malformed")
	}
	o, err := provisioner.Read(r.B)
	if err != nil || c.ID != singleton.Rent.String() {
		return api.Refuse(http.StatusBadRequest, "malformed")
	}
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		switch {
		case n.duties == nil:
			send(api.Refuse(http.StatusNotImplemented, "duties are not held one by one here"))
		case !n.active():
			send(api.Later("no leader here", 1))
		case !n.duties.keepers[singleton.Rent].Current(term):
			send(api.Refuse(http.StatusConflict, "another holds the duty"))
		default:
			n.cloudSaid(n.role, o)
			send(&rpc.Reply{Status: http.StatusOK})
		}
	})
}

// newCleaner begins to clean up under a term.
func (n *Node) newCleaner(ctx context.Context, k *singleton.Keeper, term uint64) *cleaner {
	c := &cleaner{ctx: ctx, busy: true}
	c.c = n.oplog.Beside(n.set.Params.State.WriteRPS, cleanShare, n.log).Compactor(oplog.Fence{Key: oplog.DutyKey(k.Name.String()), Version: term, Term: cleanTerm + term})
	c.c.Moved = func() {
		n.post(func() {
			if k.Term() == term {
				n.got(k)
			}
		})
	}
	go func() {
		seq, err := c.c.InForce(ctx)
		n.post(func() {
			c.busy = false
			if c.known = err == nil; c.known {
				c.inForce = seq
			}
		})
	}()
	return c
}

// clean compacts the log once enough of it has come, at a moment at which the model is what the log has.
func (n *Node) clean(k *singleton.Keeper, c *cleaner) {
	switch r := n.role; {
	case c.busy:
		return
	case !c.known || !n.loaded && r == nil || n.applied < c.inForce+uint64(n.snapEvery):
		k.Idle(n.now())
		return
	case r != nil && (r.writing || len(r.queue) > 0 || r.committed != n.applied):
		return
	}
	c.busy = true
	seq, snap, ctx := n.applied, n.m.Snapshot(), c.ctx
	go func() {
		err := c.c.Compact(ctx, seq, snap)
		n.post(func() {
			c.busy = false
			if err == nil {
				c.inForce = seq
				n.log.Debug("log compacted", "seq", seq, "bytes", len(snap))
			} else if ctx.Err() == nil {
				n.log.Warn("log not compacted, the old snapshot stays", "seq", seq, "bytes", len(snap), "err", err)
				if errors.Is(err, oplog.ErrDeposed) {
					c.known = false // the watch tells who holds it now
				}
			}
		})
	}()
}

// tellDuties is how the duties stand, for operators.
func (n *Node) tellDuties() *wire.Duties {
	out := &wire.Duties{Node: n.set.Node, Spread: n.spread(), Duties: []wire.Duty{}, Rentals: []string{}}
	if n.leader != nil {
		out.Leader = n.leader.Node
	}
	for _, i := range n.m.Intents {
		out.Rentals = append(out.Rentals, i.Name)
	}
	if n.duties == nil {
		return out
	}
	now := n.now()
	for _, k := range n.duties.keepers {
		h := k.Holder()
		d := wire.Duty{Duty: k.Name.String(), Holder: h.Node, Term: h.Term, ForS: (now - h.Since).Seconds(), Stuck: k.Stuck(), Why: k.Why()}
		if k.Term() != 0 {
			d.GotOnS = (now - k.Progress()).Seconds()
		}
		out.Duties = append(out.Duties, d)
	}
	return out
}
