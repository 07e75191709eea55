package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// This file is the leader's side of what is rented and returned: what it wants of the desk, and
// what it takes from the outcomes.

// newDesk makes a desk that works until a context ends, while it is trusted.
func (n *Node) newDesk(ctx context.Context, trusted func() bool, tell func(provisioner.Outcome)) *provisioner.Desk {
	rps := n.set.Params.Cloud.RPS
	return provisioner.New(ctx, n.cloud, max(2, int(rps)), max(2*time.Second, config.Seconds(8/rps)), trusted, n.post, tell, n.log)
}

// atDesk has the leader's own desk do what is wanted. Where the duty is held by itself, that is only what was begun before.
func (n *Node) atDesk(now time.Time) {
	r := n.role
	w := n.wanted()
	if n.spread() {
		if len(r.orders) == 0 {
			return
		}
		w = provisioner.Want{}
	}
	for _, o := range r.orders {
		w.Hires = append(w.Hires, o)
	}
	r.desk.Turn(now, w)
}

// rentals counts what is asked for and not answered, by offer.
func (n *Node) rentals() map[autoscaler.Offer]int {
	sum := map[autoscaler.Offer]int{}
	for _, o := range n.role.orders {
		sum[n.offerOf(&o)] += o.Count
	}
	for _, i := range n.m.Intents {
		sum[n.offerOf(&provisioner.Order{Type: i.Type, Zone: i.Zone, Spot: i.Spot})] += i.Count
	}
	return sum
}

func (n *Node) offerOf(o *provisioner.Order) autoscaler.Offer {
	return autoscaler.Offer{Type: n.m.TypeNames.ID(o.Type), Zone: n.m.Zones.ID(o.Zone), Spot: o.Spot}
}

// hire asks for machines.
func (n *Node) hire(r *role, h autoscaler.Hire) {
	r.hires++
	o := provisioner.Order{Name: autoscaler.Name(r.ld.Term, r.hires), Type: n.m.TypeNames.Name(h.Type), Zone: n.m.Zones.Name(h.Zone), Spot: h.Spot, Count: min(h.Count, wire.MaxHire)}
	n.log.Info("renting", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", o.Count, "request", o.Name, "why", h.Why)
	if !n.spread() {
		r.orders[o.Name] = o
		return
	}
	// Whoever deals with the cloud reads it in the log.
	n.propose(&model.Entry{Kind: model.EntryIntent, Info: &model.MachineInfo{Name: o.Name, Type: o.Type, Zone: o.Zone, Spot: o.Spot}, Count: o.Count})
}

// cloudSaid takes in what came of a request to the cloud.
func (n *Node) cloudSaid(r *role, o *provisioner.Outcome) {
	switch o.Kind {
	case provisioner.Hired:
		n.hired(r, o)
	case provisioner.Returned:
		again := map[autoscaler.Offer]int{}
		for _, name := range o.Names {
			if mc := n.m.ByName[name]; mc != nil && mc.Releasing {
				offer := autoscaler.Offer{Type: mc.Type, Zone: mc.Zone, Spot: mc.Spot}
				n.fleet.Has(offer)
				if mc.Suspect {
					again[offer]++
				}
				n.propose(&model.Entry{Kind: model.EntryGone, Machine: mc.ID})
				n.dirty = true
			}
		}
		n.rentAgain(r, again)
	case provisioner.Listed:
		r.cloudDown = false
		for i := range o.Rows {
			n.listed(&o.Rows[i])
		}
		n.unlisted(o.Rows, o.Ago)
	case provisioner.Types:
		for i := range o.Offers {
			n.learnType(&o.Offers[i])
		}
	case provisioner.Away:
		r.cloudDown = true
	}
}

// rentAgain rents machines in place of those that were returned in a cut zone, where the plan rents nothing: so they are up, or nearly, when the cut ends. Until then they count
// for nothing. Without it a zone that came back stood empty while its machines booted, and for as long as the cloud was down.
func (n *Node) rentAgain(r *role, offers map[autoscaler.Offer]int) {
	for o, k := range offers {
		for ; k > 0; k -= wire.MaxHire {
			n.hire(r, autoscaler.Hire{Offer: o, Count: min(k, wire.MaxHire), Why: "for the end of the cut"})
		}
	}
}

func (n *Node) hired(r *role, out *provisioner.Outcome) {
	o := &out.Order
	_, asked := r.orders[o.Name]
	intent := slices.ContainsFunc(n.m.Intents, func(i model.Intent) bool { return i.Name == o.Name })
	if !asked && !intent {
		return // told before
	}
	delete(r.orders, o.Name)
	offer := n.offerOf(o)
	n.stats.Rented.Add(len(out.Names))
	if len(out.Names) < o.Count {
		n.stats.NotRented.Inc()
		n.fleet.Refused(offer, n.now())
		n.log.Info("not all could be rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "wanted", o.Count, "got", len(out.Names))
	} else {
		n.fleet.Has(offer)
	}
	for _, name := range out.Names {
		if n.m.ByName[name] != nil || n.m.Tombs[name] {
			continue
		}
		n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.m.NextMachine, At: time.Now().UnixMilli(),
			Info: &model.MachineInfo{Name: name, Type: o.Type, Zone: o.Zone, Spot: o.Spot}})
		n.m.ByName[name].RentedAt = n.now() - out.Ago
	}
	if intent { // behind its machines: a successor that finds it open asks again, and is told the same names
		n.propose(&model.Entry{Kind: model.EntryIntentDone, Info: &model.MachineInfo{Name: o.Name}})
	}
}

// unlisted gives up silent machines that the cloud does not list, though they were rented long enough ago: they were
// taken, or have died. The list lags, one may be older than the one before, and reading it took a while, in which
// machines came behind what was read; so absence counts only of machines that this leader has known for longer than
// all that. It is a hint, not evidence: that is the answer to the return. Without it, machines of one zone that are
// taken together look like a cut, in which they would be left alone, and what must run there waited for a minute and
// a half.
func (n *Node) unlisted(rows []wire.ListedMachine, took time.Duration) {
	if n.spread() {
		return // whoever deals with the cloud passes on only what the log does not know
	}
	there := map[string]bool{}
	for i := range rows {
		there[rows[i].Name] = true
	}
	now, most := n.now(), config.Seconds(2*n.set.Params.Cloud.ListLagS)+max(listTakes, took+took/2)
	for _, mc := range n.m.Order {
		if !there[mc.Info.Name] && now-mc.KnownSince > most && mc.Silence(now) > n.probeAfter() {
			n.giveUp(mc, "the cloud does not list it any more")
		}
	}
}

// listTakes is more than it takes to read the whole list of machines, unless it is seen to take longer: it has a
// page for each 500 machines, and its requests share the cloud's rate with rentals and returns.
const listTakes = 10 * time.Second

// learnType logs a type that is new or has changed in more than its price.
func (n *Node) learnType(t *wire.MachineType) {
	if id, ok := n.m.TypeNames.Find(t.Name); ok && int(id) < len(n.m.Types) && n.m.Types[id].Known {
		old := &n.m.Types[id].MachineType
		a, b := *old, *t
		a.Price, a.SpotPrice, a.Zones = 0, 0, nil
		b.Price, b.SpotPrice, b.Zones = 0, 0, nil
		if a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.CacheGB == b.CacheGB &&
			a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && strings.Join(old.Zones, " ") == strings.Join(t.Zones, " ") {
			old.Price, old.SpotPrice = t.Price, t.SpotPrice
			return
		}
	}
	n.propose(&model.Entry{Kind: model.EntryType, Type: t})
	n.dirty = true
}

// listed takes in a row of the machine list. The list lags, so only three things
// are taken from it: machines nobody knew, machines that failed, and addresses.
func (n *Node) listed(l *wire.ListedMachine) {
	if n.m.Tombs[l.Name] {
		return
	}
	mc := n.m.ByName[l.Name]
	if mc == nil {
		n.log.Info("machine listed", "machine", l.Name, "type", l.Type, "zone", l.Zone, "state", l.State)
		n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.m.NextMachine, At: time.Now().UnixMilli() - int64(l.AgeS*1000),
			Info: &model.MachineInfo{Name: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot}})
		mc = n.m.ByName[l.Name]
	}
	if mc.Info.Addr == "" {
		n.learnAddr(mc, l.Addr)
	}
	if l.State == wire.MachineFailed {
		n.giveUp(mc, "the cloud lists it as failed")
	}
}
