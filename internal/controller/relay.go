package controller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/api"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/agent"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file spreads the workers of a large cell over its controllers. A relay ends workers' connections, passes each
// report on to the leader and the leader's answer back, and sends the leader's direct commands. internal/relay decides
// which worker reports where; docs/REGIONS.md has the argument why nothing more is needed for the rules.

const (
	// offerEvery is how often a node offers itself as a relay, and offerFresh how long the leader counts on an offer.
	offerEvery = time.Second
	offerFresh = 3 * time.Second
	// leastRelayed is how many reports, and how many direct commands, a relay of any size may have under way.
	leastRelayed = 256
	// relayWithin is how long a relay waits for the leader's answer to a report. The worker gives up after 4 s, and
	// the relay still has to answer by itself.
	relayWithin = 2 * time.Second
	// forgetEvery is how often the table of seats is swept.
	forgetEvery = 5 * time.Second
	// statusBusy and statusNotLeader answer a relayed report that was not taken: the leader is late, or does not lead.
	statusBusy      = http.StatusTooManyRequests
	statusNotLeader = http.StatusGone
)

// relayAtOnce bounds the reports, and the direct commands, that a relay has under way at the same time: no more than
// half of the connections that it ends. Pings and users' requests use the same link.
func relayAtOnce(connections int) int { return max(leastRelayed, connections/2) }

// relaying is this node as a relay. The loop writes it; the goroutines of workers' connections read it.
type relaying struct {
	target    atomic.Pointer[rpc.Link] // to the leader; nil: this node leads, or does not reach one
	on        atomic.Bool              // the leader wants reports passed on
	reports   slots                    // reports under way
	orders    slots                    // direct commands under way
	questions slots                    // questions under way
	offeredAt time.Time
	offeredTo *rpc.Link
	// offersNothing is for tests: the node behaves as one of a version without relays.
	offersNothing bool
}

func newRelaying(connections, sockets int) *relaying {
	most := relayAtOnce(connections)
	return &relaying{
		reports: make(slots, most), orders: make(slots, most), questions: make(slots, questionsAtOnce(sockets)),
	}
}

// slots bounds what is under way at the same time.
type slots chan struct{}

// take takes a slot, if one is free.
func (s slots) take() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s slots) release() { <-s }

// tendRelay keeps the way to the leader up to date and offers this node as a relay.
func (n *Node) tendRelay() {
	rl := n.relaying
	var target *rpc.Link
	if n.role == nil && n.loaded && n.leader != nil {
		if l := n.links[n.leader.Node]; l != nil && time.Since(l.Heard()) < linkFresh {
			target = l
		}
	}
	if rl.offersNothing {
		target = nil
	}
	rl.target.Store(target)
	if target == nil || target == rl.offeredTo && time.Since(rl.offeredAt) < offerEvery {
		return
	}
	rl.offeredTo, rl.offeredAt = target, time.Now()
	offer := relay.Offer{Node: n.set.Node, Open: !n.crowd.Dense()}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, offerEvery)
		defer cancel()
		a, err := target.Call(ctx, &rpc.Call{Op: rpc.OpOffer, Body: offer.Append(nil)})
		if err != nil {
			return // what was agreed stands until the leader can be asked
		}
		on, err := relay.ReadTerms(a.Body)
		rl.on.Store(a.Status == http.StatusOK && err == nil && on)
	}()
}

// takeOffer answers a node that offers itself as a relay.
func (n *Node) takeOffer(ctx context.Context, c *rpc.Call) *rpc.Reply {
	offer, err := relay.ReadOffer(c.Body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		i := n.memberIndex(offer.Node)
		if n.role == nil || i == relay.Leader {
			send(&rpc.Reply{Status: statusNotLeader})
			return
		}
		r := n.role
		r.open[i], r.offered[i] = offer.Open, n.now()
		send(&rpc.Reply{Status: http.StatusOK, Body: relay.AppendTerms(nil, r.seats.On())})
	})
}

// memberIndex is a member's index in the table of seats; relay.Leader if there is no such member.
func (n *Node) memberIndex(node string) int {
	for i, m := range n.set.Members {
		if m.Node == node {
			return i + 1
		}
	}
	return relay.Leader
}

// passReport passes a worker's report on to the leader. It returns nil where this node is no relay.
func (n *Node) passReport(ctx context.Context, r *wire.Report) *rpc.Reply {
	rl := n.relaying
	target := rl.target.Load()
	if target == nil || !rl.on.Load() {
		return nil
	}
	if !rl.reports.take() {
		return n.keepRelayed(ctx, r)
	}
	defer rl.reports.release()
	ctx, cancel := context.WithTimeout(ctx, relayWithin)
	defer cancel()
	a, err := target.Call(ctx, &rpc.Call{Op: rpc.OpReport, ID: n.set.Node, Body: relay.AppendReport(nil, r)})
	switch {
	case err != nil || a.Status == statusBusy:
		return n.keepRelayed(n.ctx, r)
	case a.Status == http.StatusOK || a.Status == http.StatusMisdirectedRequest || a.Status == http.StatusServiceUnavailable:
		n.stats.Relayed.Inc()
		return a
	}
	return nil // it leads no more, or is of an older version
}

// keepRelayed renews the lease of a worker whose report the leader did not take in time, as any node does that does not
// reach the leader, and within the same bounds. Under overload this is what keeps running work alive.
func (n *Node) keepRelayed(ctx context.Context, r *wire.Report) *rpc.Reply {
	n.stats.Kept.Inc()
	return n.inLoop(ctx, func(send func(*rpc.Reply)) {
		switch {
		case n.role != nil:
			n.reportToLeader(r, relay.Leader, send)
		case !n.loaded:
			send(api.Encode(http.StatusMisdirectedRequest, &wire.Redirect{}))
		default:
			send(n.keepAlive(r))
		}
	})
}

// takeRelayed takes a report that a relay passes on.
func (n *Node) takeRelayed(ctx context.Context, c *rpc.Call) *rpc.Reply {
	r, err := relay.ReadReport(c.Body)
	if err != nil || r.Machine == "" || r.Session == 0 {
		return api.Refuse(http.StatusBadRequest, "malformed report")
	}
	a := n.inLoop(ctx, func(send func(*rpc.Reply)) {
		if node := n.memberIndex(c.ID); n.role != nil && node != relay.Leader {
			n.reportToLeader(r, node, send)
			return
		}
		send(&rpc.Reply{Status: statusNotLeader})
	})
	switch a {
	case loopBusy, loopSlow, givenUp, stopping:
		return &rpc.Reply{Status: statusBusy}
	}
	return a
}

// moved tells whether a worker is to report through another node, and to which.
func (n *Node) moved(mc *model.Machine, node int) (to string, move bool) {
	r := n.role
	now := n.now()
	r.seats.Heard(mc.Info.Name, node, now)
	if !mc.Reported || now-mc.LastReport > n.lease()/4 {
		return "", false // its lease is renewed first: to look for another node takes time
	}
	open := func(i int) bool { return r.open[i] && n.relays(i) }
	i, move := r.seats.Move(mc.Info.Name, node, open, now)
	switch {
	case !move:
		return "", false
	case i == relay.Leader:
		return n.set.Node, true
	}
	return n.set.Members[i-1].Node, true
}

// relays tells whether a node, by its index in the table of seats, offered itself as a relay a moment ago and is reached.
func (n *Node) relays(node int) bool {
	at := n.role.offered[node]
	return at != 0 && n.now()-at < offerFresh && time.Since(n.links[n.set.Members[node-1].Node].Heard()) < linkFresh
}

// tendSeats is the leader's part of the housekeeping.
func (n *Node) tendSeats(r *role) {
	r.seats.Switch(len(n.m.Order), n.spreadOver)
	if now := n.now(); now-r.sweptAt > forgetEvery {
		r.sweptAt = now
		r.seats.Forget(now - n.silentAfter())
	}
}

// sendOrders sends a direct command, through the relay by which the machine reports, if there is one. A command whose
// relay is lost meanwhile may be executed at any later time, as one that a network holds.
func (n *Node) sendOrders(ctx context.Context, via *rpc.Link, addr string, o *wire.Orders) (agent.Fate, *wire.Report, error) {
	if via == nil {
		return n.worker.Orders(ctx, addr, o)
	}
	ctx, cancel := context.WithTimeout(ctx, ordersWithin+time.Second)
	defer cancel()
	a, err := via.Call(ctx, &rpc.Call{Op: rpc.OpOrders, ID: addr, Body: relay.AppendOrders(nil, o)})
	switch {
	case rpc.IsDown(err):
		return agent.Unsent, nil, err
	case err != nil:
		return agent.Unknown, nil, err
	case a.Status != http.StatusOK:
		return agent.Unsent, nil, errNotSent
	}
	out, err := relay.ReadOutcome(a.Body)
	if err != nil || out.Fate > uint8(agent.Unknown) {
		return agent.Unknown, nil, relay.ErrMalformed
	}
	return agent.Fate(out.Fate), out.Report, nil
}

// relayFor is the link to the relay by which a machine reports; nil: it is commanded from here.
func (n *Node) relayFor(mc *model.Machine) *rpc.Link {
	i := n.role.seats.Node(mc.Info.Name)
	if i == relay.Leader || !n.relays(i) {
		return nil
	}
	return n.links[n.set.Members[i-1].Node]
}

// waysTo is how a machine may be asked: by the node through which it reports and, if that fails, by one other way; nil
// stands for from here. A leader that is cut off from workers whose relays are not must not take them for silent.
func (n *Node) waysTo(mc *model.Machine) []*rpc.Link {
	if !n.role.seats.On() {
		return []*rpc.Link{nil}
	}
	if via := n.relayFor(mc); via != nil {
		return []*rpc.Link{via, nil}
	}
	for i, m := range n.set.Members {
		if n.relays(i + 1) {
			return []*rpc.Link{nil, n.links[m.Node]}
		}
	}
	return []*rpc.Link{nil}
}

// show asks a worker how it is, by one way after the other until it answers.
func (n *Node) show(ctx context.Context, ways []*rpc.Link, addr string) (rep *wire.Report, err error) {
	for _, via := range ways {
		if via == nil {
			rep, err = n.worker.Show(ctx, addr, askFor)
		} else {
			rep, err = askThrough(ctx, via, addr)
		}
		if err == nil {
			return rep, nil
		}
	}
	return nil, err
}

func askThrough(ctx context.Context, via *rpc.Link, addr string) (*wire.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askFor+askFor/4)
	defer cancel()
	a, err := via.Call(ctx, &rpc.Call{Op: rpc.OpShow, ID: addr})
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, errNotSent
	}
	return relay.ReadReport(a.Body)
}

// passQuestion asks a worker for the leader.
func (n *Node) passQuestion(ctx context.Context, c *rpc.Call) *rpc.Reply {
	if !n.relaying.questions.take() {
		return &rpc.Reply{Status: statusBusy}
	}
	defer n.relaying.questions.release()
	rep, err := n.worker.Show(ctx, c.ID, askFor)
	if err != nil {
		return &rpc.Reply{Status: http.StatusServiceUnavailable}
	}
	return &rpc.Reply{Status: http.StatusOK, Body: relay.AppendReport(nil, rep)}
}

// passOrders sends a direct command for the leader.
func (n *Node) passOrders(ctx context.Context, c *rpc.Call) *rpc.Reply {
	o, err := relay.ReadOrders(c.Body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !n.relaying.orders.take() {
		return &rpc.Reply{Status: statusBusy}
	}
	defer n.relaying.orders.release()
	fate, rep, _ := n.worker.Orders(ctx, c.ID, o)
	return &rpc.Reply{Status: http.StatusOK, Body: relay.Outcome{Fate: uint8(fate), Report: rep}.Append(nil)}
}
