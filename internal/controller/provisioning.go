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

// newProvisioner makes a desk that works until a context ends, while it is trusted.
func (n *Controller) newProvisioner(ctx context.Context, trusted func() bool, onResult func(provisioner.Result)) *provisioner.Provisioner {
	rps := n.settings.Params.Cloud.RPS
	return provisioner.New(ctx, n.cloud, max(2, int(rps)), max(2*time.Second, config.Seconds(8/rps)), trusted, n.post, onResult, n.log)
}

// runProvisioner has the leader's own desk do what is wanted. Where the duty is held by itself, that is only what was begun before.
func (n *Controller) runProvisioner(now time.Time) {
	term := n.ownTerm
	desired := n.desiredCapacity()
	if n.rolesDistributed() {
		if len(term.orders) == 0 {
			return
		}
		desired = provisioner.Desired{}
	}
	for _, o := range term.orders {
		desired.ScaleOuts = append(desired.ScaleOuts, o)
	}
	term.provisioner.Reconcile(now, desired)
}

// openScaleOuts counts what is asked for and not answered, by offer.
func (n *Controller) openScaleOuts() map[autoscaler.InstanceOffer]int {
	counts := map[autoscaler.InstanceOffer]int{}
	for _, o := range n.ownTerm.orders {
		counts[n.offerOf(&o)] += o.Count
	}
	for _, i := range n.model.Intents {
		counts[n.offerOf(&provisioner.ScaleOut{Type: i.Type, Zone: i.Zone, Spot: i.Spot})] += i.Count
	}
	return counts
}

func (n *Controller) offerOf(order *provisioner.ScaleOut) autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{Type: n.model.TypeNames.ID(order.Type), Zone: n.model.Zones.ID(order.Zone), Spot: order.Spot}
}

// scaleOut asks for machines.
func (n *Controller) scaleOut(term *leaderTerm, request autoscaler.ScaleOut) {
	term.scaleOutCount++
	order := provisioner.ScaleOut{Name: autoscaler.RequestName(term.leader.Term, term.scaleOutCount), Type: n.model.TypeNames.Name(request.Type), Zone: n.model.Zones.Name(request.Zone), Spot: request.Spot, Count: min(request.Count, wire.MaxScaleOut)}
	n.log.Info("scale-out requested", "type", order.Type, "zone", order.Zone, "spot", order.Spot, "count", order.Count, "request", order.Name, "reason", request.Purpose)
	if !n.rolesDistributed() {
		term.orders[order.Name] = order
		return
	}
	// Whoever deals with the cloud reads it in the log.
	n.propose(&model.Entry{Kind: model.EntryIntent, Info: &model.MachineInfo{Name: order.Name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}, Count: order.Count})
}

// onProvisionerResult takes in what came of a request to the cloud.
func (n *Controller) onProvisionerResult(term *leaderTerm, result *provisioner.Result) {
	switch result.Kind {
	case provisioner.ScaledOut:
		n.onScaledOut(term, result)
	case provisioner.Released:
		replacements := map[autoscaler.InstanceOffer]int{}
		for _, name := range result.Machines {
			if machine := n.model.ByName[name]; machine != nil && machine.Releasing {
				offer := autoscaler.InstanceOffer{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
				n.autoscaler.OnAvailable(offer)
				if machine.Suspect {
					replacements[offer]++
				}
				n.propose(&model.Entry{Kind: model.EntryGone, Machine: machine.ID})
				n.roundRequested = true
			}
		}
		n.replaceReleased(term, replacements)
	case provisioner.MachinesListed:
		term.cloudUnavailable = false
		for i := range result.Listing {
			n.onListed(&result.Listing[i])
		}
		n.releaseUnlisted(result.Listing, result.Elapsed)
	case provisioner.TypesListed:
		for i := range result.MachineTypes {
			n.recordType(&result.MachineTypes[i])
		}
	case provisioner.CloudUnavailable:
		term.cloudUnavailable = true
	}
}

// replaceReleased rents machines in place of those that were returned in a cut zone, where the plan rents nothing: so they are up, or nearly, when the cut ends. Until then they count
// for nothing. Without it a zone that came back stood empty while its machines booted, and for as long as the cloud was down.
func (n *Controller) replaceReleased(term *leaderTerm, offers map[autoscaler.InstanceOffer]int) {
	for offer, count := range offers {
		for ; count > 0; count -= wire.MaxScaleOut {
			n.scaleOut(term, autoscaler.ScaleOut{InstanceOffer: offer, Count: min(count, wire.MaxScaleOut), Purpose: "replacement in partitioned zone"})
		}
	}
}

func (n *Controller) onScaledOut(term *leaderTerm, result *provisioner.Result) {
	order := &result.ScaleOut
	_, requested := term.orders[order.Name]
	intent := slices.ContainsFunc(n.model.Intents, func(i model.Intent) bool { return i.Name == order.Name })
	if !requested && !intent {
		return // told before
	}
	delete(term.orders, order.Name)
	offer := n.offerOf(order)
	n.metrics.Provisioned.Add(len(result.Machines))
	if len(result.Machines) < order.Count {
		n.metrics.ProvisionRefused.Inc()
		n.autoscaler.OnRefused(offer, n.now())
		n.log.Info("scale-out incomplete", "type", order.Type, "zone", order.Zone, "spot", order.Spot, "requested", order.Count, "provisioned", len(result.Machines))
	} else {
		n.autoscaler.OnAvailable(offer)
	}
	for _, name := range result.Machines {
		if n.model.ByName[name] != nil || n.model.Tombstones[name] {
			continue
		}
		n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.model.NextMachine, At: time.Now().UnixMilli(),
			Info: &model.MachineInfo{Name: name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}})
		n.model.ByName[name].ProvisionedAt = n.now() - result.Elapsed
	}
	if intent { // behind its machines: a successor that finds it open asks again, and is told the same names
		n.propose(&model.Entry{Kind: model.EntryIntentDone, Info: &model.MachineInfo{Name: order.Name}})
	}
}

// releaseUnlisted gives up silent machines that the cloud does not list, though they were rented long enough ago: they were
// taken, or have died. The list lags, one may be older than the one before, and reading it took a while, in which
// machines came behind what was read; so absence counts only of machines that this leader has known for longer than
// all that. It is a hint, not evidence: that is the answer to the return. Without it, machines of one zone that are
// taken together look like a cut, in which they would be left alone, and what must run there waited for a minute and
// a half.
func (n *Controller) releaseUnlisted(rows []wire.ListedMachine, took time.Duration) {
	if n.rolesDistributed() {
		return // whoever deals with the cloud passes on only what the log does not know
	}
	listed := map[string]bool{}
	for i := range rows {
		listed[rows[i].Name] = true
	}
	now, minAge := n.now(), config.Seconds(2*n.settings.Params.Cloud.ListLagS)+max(maxListDuration, took+took/2)
	for _, machine := range n.model.Order {
		if !listed[machine.Info.Name] && now-machine.KnownSince > minAge && machine.SilentFor(now) > n.probeAfter() {
			n.releaseMachine(machine, "not in cloud listing")
		}
	}
}

// maxListDuration is more than it takes to read the whole list of machines, unless it is seen to take longer: it has a
// page for each 500 machines, and its requests share the cloud's rate with rentals and returns.
const maxListDuration = 10 * time.Second

// recordType logs a type that is new or has changed in more than its price.
func (n *Controller) recordType(t *wire.MachineType) {
	if id, ok := n.model.TypeNames.Find(t.Name); ok && int(id) < len(n.model.Types) && n.model.Types[id].Known {
		old := &n.model.Types[id].MachineType
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
	n.roundRequested = true
}

// onListed takes in a row of the machine list. The list lags, so only three things
// are taken from it: machines nobody knew, machines that failed, and addresses.
func (n *Controller) onListed(row *wire.ListedMachine) {
	if n.model.Tombstones[row.Name] {
		return
	}
	machine := n.model.ByName[row.Name]
	if machine == nil {
		n.log.Info("machine discovered", "machine", row.Name, "type", row.Type, "zone", row.Zone, "state", row.State)
		n.propose(&model.Entry{Kind: model.EntryMachine, Machine: n.model.NextMachine, At: time.Now().UnixMilli() - int64(row.AgeS*1000),
			Info: &model.MachineInfo{Name: row.Name, Addr: row.Addr, Type: row.Type, Zone: row.Zone, Spot: row.Spot}})
		machine = n.model.ByName[row.Name]
	}
	if machine.Info.Addr == "" {
		n.recordAddr(machine, row.Addr)
	}
	if row.State == wire.MachineFailed {
		n.releaseMachine(machine, "failed in cloud listing")
	}
}
