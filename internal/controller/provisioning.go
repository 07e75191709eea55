package controller

import (
	"context"
	"slices"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// provisioning is the leader's side of scaling out and in: what it wants of the provisioner, and what it takes from the
// results. Machines and their release are in the log; this component writes those entries. The autoscaler is the
// leader's alone, begins anew with each term and is used in the loop alone.
type provisioning struct {
	*environment
	commits   *commitPipeline
	health    *machineHealth
	loop      *eventLoop
	replica   *replica
	roles     *singletonRoles
	rounds    *schedulingRounds
	telemetry *telemetry
	term      *termState

	autoscaler *autoscaler.Autoscaler
}

// provisioningTerm is what provisioning has for one term of leadership. The loop owns it.
type provisioningTerm struct {
	scaleOutCount    int                             // scale-out requests of this term; their names count on
	orders           map[string]provisioner.ScaleOut // requests without a result, by name, that are not in the log
	provisioner      *provisioner.Provisioner        // the leader's own, while singleton roles are not distributed
	lastAutoscale    time.Time
	cloudUnavailable bool // the cloud did not list the machines when last asked
}

// recordAddr logs where a machine is reached, for the next leader to probe it.
func (pv *provisioning) recordAddr(machine *model.Machine, addr string) {
	if addr == "" || machine.Info.Addr == addr {
		return
	}
	info := machine.Info
	info.Addr = addr
	pv.commits.propose(model.NewMachine(machine.ID, machine.At, &info))
}

// releaseMachine has a machine released once the log has it; its tasks are gone when the cloud says so.
func (pv *provisioning) releaseMachine(machine *model.Machine, reason string) {
	if machine.Releasing {
		return
	}
	pv.commits.propose(model.NewRelease(machine.ID))
	pv.metrics.ScaledIn.Inc()
	pv.log.Info("machine released", "machine", machine.Info.Name, "type", machine.Info.Type,
		"zone", machine.Info.Zone, "tasks", len(machine.Runs), "reason", reason)
}

// runAutoscaler plans the fleet and requests what the plan has.
func (pv *provisioning) runAutoscaler(term *leaderTerm) {
	if !pv.replica.model.TypesKnown() {
		return
	}
	pv.health.checkMachineHealth(term)
	pv.telemetry.logMachineSummary(term)
	pv.autoscaler.InFlight = pv.openScaleOuts()
	plan := pv.autoscaler.Plan(pv.replica.model, pv.now())
	pv.constrainScheduler(&plan)
	for _, machine := range plan.ScaleIn {
		if term.provisioning.cloudUnavailable {
			break // it could not be released, and not be used either
		}
		pv.releaseMachine(machine, "idle and not needed")
	}
	// The cloud's rate is small, so few requests are under way at once and none twice for the same offer: the answer to
	// the first tells what is left.
	maxOpen := max(2, int(pv.settings.Params.Cloud.RPS))
	for _, scaleOut := range plan.ScaleOuts {
		if len(pv.autoscaler.InFlight) >= maxOpen {
			break
		}
		if pv.autoscaler.InFlight[scaleOut.InstanceOffer] == 0 {
			pv.scaleOut(term, scaleOut)
			pv.autoscaler.InFlight[scaleOut.InstanceOffer] += scaleOut.Count
		}
	}
}

// constrainScheduler has the scheduler keep to the plan: which machines are drained, and for whom others are kept.
func (pv *provisioning) constrainScheduler(plan *autoscaler.Plan) {
	scheduler := pv.rounds.scheduler
	scheduler.DrainTarget = plan.Vacate
	scheduler.ServiceHeadroom = plan.Headroom
	scheduler.ServiceSlots = plan.ForServices
	scheduler.LowPriorityAllowed = plan.LowPriorityAllowed
	for _, machine := range pv.replica.model.Order {
		if machine.Lifecycle.Draining != plan.Drain[machine] {
			pv.log.Info("machine drain changed", "machine", machine.Info.Name, "type", machine.Info.Type,
				"draining", !machine.Lifecycle.Draining)
			machine.Lifecycle.Draining = !machine.Lifecycle.Draining
			pv.loop.requestRound()
		}
	}
}

// newProvisioner makes a provisioner that works until a context ends, while it is trusted to be the only one. It
// reports in the loop.
func (pv *provisioning) newProvisioner(
	ctx context.Context,
	trusted func() bool,
	onResult func(provisioner.Result),
) *provisioner.Provisioner {
	rps := pv.settings.Params.Cloud.RPS
	listInterval := max(2*time.Second, config.Seconds(8/rps))
	return provisioner.New(
		ctx, pv.cloud, max(2, int(rps)), listInterval, trusted, pv.loop.post, onResult, pv.log)
}

// runProvisioner has the leader's own provisioner do what is wanted. While singleton roles are distributed, that is
// only what was begun before.
func (pv *provisioning) runProvisioner(now time.Time) {
	term := pv.term.ownTerm
	desired := pv.desiredCapacity()
	if pv.roles.rolesDistributed() {
		if len(term.provisioning.orders) == 0 {
			return
		}
		desired = provisioner.Desired{}
	}
	for _, order := range term.provisioning.orders {
		desired.ScaleOuts = append(desired.ScaleOuts, order)
	}
	term.provisioning.provisioner.Reconcile(now, desired)
}

// openScaleOuts counts the machines that are requested and not answered for, by offer.
func (pv *provisioning) openScaleOuts() map[autoscaler.InstanceOffer]int {
	counts := map[autoscaler.InstanceOffer]int{}
	for _, order := range pv.term.ownTerm.provisioning.orders {
		counts[pv.offerOf(&order)] += order.Count
	}
	for _, intent := range pv.replica.model.Intents {
		order := provisioner.ScaleOut{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}
		counts[pv.offerOf(&order)] += intent.Count
	}
	return counts
}

// offerOf is the offer of the cloud that a request is for.
func (pv *provisioning) offerOf(order *provisioner.ScaleOut) autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{
		Type: pv.replica.model.TypeNames.ID(order.Type),
		Zone: pv.replica.model.Zones.ID(order.Zone),
		Spot: order.Spot,
	}
}

// scaleOut requests machines, under a name that is never used for another request.
func (pv *provisioning) scaleOut(term *leaderTerm, request autoscaler.ScaleOut) {
	term.provisioning.scaleOutCount++
	order := provisioner.ScaleOut{
		Name:  autoscaler.RequestName(term.leader.Term, term.provisioning.scaleOutCount),
		Type:  pv.replica.model.TypeNames.Name(request.Type),
		Zone:  pv.replica.model.Zones.Name(request.Zone),
		Spot:  request.Spot,
		Count: min(request.Count, wire.MaxScaleOut),
	}
	pv.log.Info("scale-out requested", "type", order.Type, "zone", order.Zone, "spot", order.Spot,
		"count", order.Count, "request", order.Name, "reason", request.Purpose)
	if !pv.roles.rolesDistributed() {
		term.provisioning.orders[order.Name] = order
		return
	}
	// The holder of the role reads it in the log.
	pv.commits.propose(model.NewIntent(
		&model.MachineInfo{Name: order.Name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}, order.Count,
	))
}

// onProvisionerResult takes in what came of a request to the cloud. It is for the leader's loop.
func (pv *provisioning) onProvisionerResult(term *leaderTerm, outcome *provisioner.Result) {
	switch outcome.Kind {
	case provisioner.ScaledOut:
		pv.onScaledOut(term, outcome)
	case provisioner.Released:
		pv.onReleased(term, outcome.Machines)
	case provisioner.MachinesListed:
		term.provisioning.cloudUnavailable = false
		for i := range outcome.Listing {
			pv.onListed(&outcome.Listing[i])
		}
		pv.releaseUnlisted(outcome.Listing, outcome.Elapsed)
	case provisioner.TypesListed:
		for i := range outcome.MachineTypes {
			pv.recordType(&outcome.MachineTypes[i])
		}
	case provisioner.CloudUnavailable:
		term.provisioning.cloudUnavailable = true
	}
}

// onReleased takes in that machines are gone.
func (pv *provisioning) onReleased(term *leaderTerm, names []string) {
	replacements := map[autoscaler.InstanceOffer]int{}
	for _, name := range names {
		machine := pv.replica.model.ByName[name]
		if machine == nil || !machine.Releasing {
			continue
		}
		offer := autoscaler.InstanceOffer{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		pv.autoscaler.OnAvailable(offer)
		if machine.Suspect {
			replacements[offer]++
		}
		pv.commits.propose(model.NewMachineGone(machine.ID))
		pv.loop.requestRound()
	}
	pv.replaceReleased(term, replacements)
}

// replaceReleased requests machines in place of those that were released in a partitioned zone, where the plan requests
// nothing: so they are up, or nearly, when the partition ends. Until then they count for nothing. Without it a zone
// that came back was empty while its machines booted, and for as long as the cloud was unavailable.
func (pv *provisioning) replaceReleased(term *leaderTerm, offers map[autoscaler.InstanceOffer]int) {
	for offer, count := range offers {
		for ; count > 0; count -= wire.MaxScaleOut {
			pv.scaleOut(term, autoscaler.ScaleOut{
				InstanceOffer: offer,
				Count:         min(count, wire.MaxScaleOut),
				Purpose:       "replacement in partitioned zone",
			})
		}
	}
}

// onScaledOut takes in the machines that a request brought: fewer than requested where the cloud has no more.
func (pv *provisioning) onScaledOut(term *leaderTerm, outcome *provisioner.Result) {
	order := &outcome.ScaleOut
	_, requested := term.provisioning.orders[order.Name]
	intent := slices.ContainsFunc(pv.replica.model.Intents, func(i model.Intent) bool { return i.Name == order.Name })
	if !requested && !intent {
		return // reported before
	}
	delete(term.provisioning.orders, order.Name)
	offer := pv.offerOf(order)
	pv.metrics.Provisioned.Add(len(outcome.Machines))
	if len(outcome.Machines) < order.Count {
		pv.metrics.ProvisionRefused.Inc()
		pv.autoscaler.OnRefused(offer, pv.now())
		pv.log.Info("scale-out incomplete", "type", order.Type, "zone", order.Zone, "spot", order.Spot,
			"requested", order.Count, "provisioned", len(outcome.Machines))
	} else {
		pv.autoscaler.OnAvailable(offer)
	}
	for _, name := range outcome.Machines {
		if pv.replica.model.ByName[name] != nil || pv.replica.model.Tombstones[name] {
			continue
		}
		pv.recordMachine(model.MachineInfo{Name: name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}, 0)
		pv.replica.model.ByName[name].Lifecycle.ProvisionedAt = pv.now() - outcome.Elapsed
	}
	if intent {
		// Behind its machines: a successor that finds it open requests it again, and is given the same names.
		pv.commits.propose(model.NewIntentDone(order.Name))
	}
}

// recordMachine logs a machine that the log does not have, and that has been up for so long.
func (pv *provisioning) recordMachine(info model.MachineInfo, ageMillis int64) {
	pv.commits.propose(model.NewMachine(pv.replica.model.NextMachine, time.Now().UnixMilli()-ageMillis, &info))
}

// maxListDuration is more than it takes to read the whole list of machines, unless it is seen to take longer: it has a
// page for each 500 machines, and its requests share the cloud's rate with scale-out and scale-in.
const maxListDuration = 10 * time.Second

// releaseUnlisted releases silent machines that the cloud does not list, though they were provisioned long enough ago:
// they were preempted, or have died. The list lags, one may be older than the one before, and reading it took a while,
// in which machines came behind what was read; so absence counts only of machines that this leader has known for longer
// than all that. It is a hint, not evidence: that is the answer to the release. Without it, machines of one zone that
// are preempted together look like a partition, in which they would be left alone, and what must run there waited for a
// minute and a half.
func (pv *provisioning) releaseUnlisted(rows []wire.ListedMachine, elapsed time.Duration) {
	if pv.roles.rolesDistributed() {
		return // the holder of the role passes on only what the log does not have
	}
	listed := map[string]bool{}
	for i := range rows {
		listed[rows[i].Name] = true
	}
	now := pv.now()
	listLag := config.Seconds(2 * pv.settings.Params.Cloud.ListLagS)
	minAge := listLag + max(maxListDuration, elapsed+elapsed/2)
	for _, machine := range pv.replica.model.Order {
		if !listed[machine.Info.Name] && now-machine.Contact.KnownSince > minAge &&
			machine.SilentFor(now) > pv.probeAfter() {
			pv.releaseMachine(machine, "not in cloud listing")
		}
	}
}

// recordType logs a type that is new or has changed in more than its price.
func (pv *provisioning) recordType(offered *wire.MachineType) {
	types := pv.replica.model.Types
	id, ok := pv.replica.model.TypeNames.Find(offered.Name)
	if ok && int(id) < len(types) && types[id].Known && sameResources(&types[id].MachineType, offered) {
		types[id].Price, types[id].SpotPrice = offered.Price, offered.SpotPrice
		return
	}
	pv.commits.propose(model.NewMachineType(offered))
	pv.loop.requestRound()
}

// sameResources tells whether two descriptions of a type differ in nothing but its price.
func sameResources(a, b *wire.MachineType) bool {
	return a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.CacheGB == b.CacheGB &&
		a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}

// onListed takes in a row of the cloud's list of machines. The list lags, so only three things are taken from it:
// machines that nobody knew, machines that failed, and addresses.
func (pv *provisioning) onListed(row *wire.ListedMachine) {
	if pv.replica.model.Tombstones[row.Name] {
		return
	}
	machine := pv.replica.model.ByName[row.Name]
	if machine == nil {
		pv.log.Info("machine discovered", "machine", row.Name, "type", row.Type, "zone", row.Zone, "state", row.State)
		info := model.MachineInfo{Name: row.Name, Addr: row.Addr, Type: row.Type, Zone: row.Zone, Spot: row.Spot}
		pv.recordMachine(info, int64(row.AgeS*1000))
		machine = pv.replica.model.ByName[row.Name]
	}
	if machine.Info.Addr == "" {
		pv.recordAddr(machine, row.Addr)
	}
	if row.State == wire.MachineFailed {
		pv.releaseMachine(machine, "failed in cloud listing")
	}
}

// desiredCapacity is what the log says is to be done at the cloud, as far as this controller has it for sure.
func (pv *provisioning) desiredCapacity() provisioner.Desired {
	committed := pv.replica.appliedSeq
	if pv.term.ownTerm != nil {
		committed = pv.term.ownTerm.commits.committedSeq
	}
	desired := provisioner.Desired{TypesUnknown: !pv.replica.model.TypesKnown()}
	for _, intent := range pv.replica.model.Intents {
		if intent.Seq <= committed {
			desired.ScaleOuts = append(desired.ScaleOuts, provisioner.ScaleOut{
				Name: intent.Name, Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot, Count: intent.Count,
			})
		}
	}
	for _, machine := range pv.replica.model.Order {
		if machine.Releasing && machine.ReleaseSeq <= committed {
			desired.Releases = append(desired.Releases, machine.Info.Name)
		}
	}
	return desired
}
