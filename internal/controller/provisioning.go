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

// provisioning is the leader's side of scaling out and in: it passes the desired capacity to the provisioner, processes
// the results, and writes the log entries for machines and their release. The autoscaler is created anew for each term
// of the leader and used only on the event loop.
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

// provisioningTerm is the state of provisioning for one term of leadership. It is owned by the event loop.
type provisioningTerm struct {
	scaleOutCount    int                             // scale-out requests of this term; used to number their names
	scaleOuts        map[string]provisioner.ScaleOut // pending requests that are not in the log, by name
	provisioner      *provisioner.Provisioner        // the leader's own, while the singleton roles are not distributed
	lastAutoscale    time.Time
	cloudUnavailable bool // the last attempt to list the machines failed
}

// recordAddr writes the address of a machine to the log, so that the next leader can probe the machine.
func (pv *provisioning) recordAddr(machine *model.Machine, addr string) {
	if addr == "" || machine.Info.Addr == addr {
		return
	}
	info := machine.Info
	info.Addr = addr
	pv.commits.propose(model.NewMachine(machine.ID, machine.FirstLoggedMS, &info))
}

// releaseMachine writes the release of a machine to the log, and the provisioner then executes it. The machine's tasks
// count as ended only when the cloud confirms the release.
func (pv *provisioning) releaseMachine(machine *model.Machine, reason string) {
	if machine.Releasing {
		return
	}
	pv.commits.propose(model.NewRelease(machine.ID))
	pv.metrics.ScaledIn.Inc()
	pv.log.Info("machine released", "machine", machine.Info.Name, "type", machine.Info.Type,
		"zone", machine.Info.Zone, "tasks", len(machine.Runs), "reason", reason)
}

// runAutoscaler checks the machines' health, computes a fleet plan, and requests the scale-outs and releases in the
// plan.
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
			break // the cloud can't release the machine now, and a machine being released takes no tasks
		}
		pv.releaseMachine(machine, "idle and not needed")
	}
	// The cloud's rate limit is low, so only a few requests are open at a time, and at most one per offer, since the
	// result shows whether the cloud has more machines of that offer.
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

// constrainScheduler passes the plan's constraints to the scheduler: machines to drain, and capacity reserved for
// certain jobs.
func (pv *provisioning) constrainScheduler(plan *autoscaler.Plan) {
	scheduler := pv.rounds.scheduler
	scheduler.DrainTarget = plan.DrainTarget
	scheduler.ServiceHeadroom = plan.ServiceHeadroom
	scheduler.ServiceSlots = plan.ServiceSlots
	scheduler.LowPriorityAllowed = plan.LowPriorityAllowed
	for _, machine := range pv.replica.model.MachinesInOrder {
		if machine.Lifecycle.Draining != plan.Draining[machine] {
			pv.log.Info("machine drain changed", "machine", machine.Info.Name, "type", machine.Info.Type,
				"draining", !machine.Lifecycle.Draining)
			machine.Lifecycle.Draining = !machine.Lifecycle.Draining
			pv.loop.requestRound()
		}
	}
}

// newProvisioner creates a provisioner that runs until ctx ends and sends requests to the cloud only while trusted
// returns true. It calls onResult on the event loop.
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

// runProvisioner reconciles the leader's own provisioner with the desired capacity. While the singleton roles are
// distributed, it only completes the requests that this provisioner started earlier.
func (pv *provisioning) runProvisioner(now time.Time) {
	term := pv.term.ownTerm
	desired := pv.desiredCapacity()
	if pv.roles.rolesDistributed() {
		if len(term.provisioning.scaleOuts) == 0 {
			return
		}
		desired = provisioner.Desired{}
	}
	for _, order := range term.provisioning.scaleOuts {
		desired.ScaleOuts = append(desired.ScaleOuts, order)
	}
	term.provisioning.provisioner.Reconcile(now, desired)
}

// openScaleOuts counts, by offer, the machines of scale-out requests that have no result yet.
func (pv *provisioning) openScaleOuts() map[autoscaler.InstanceOffer]int {
	counts := map[autoscaler.InstanceOffer]int{}
	for _, order := range pv.term.ownTerm.provisioning.scaleOuts {
		counts[pv.offerOf(&order)] += order.Count
	}
	for _, intent := range pv.replica.model.Intents {
		order := provisioner.ScaleOut{Type: intent.Type, Zone: intent.Zone, Spot: intent.Spot}
		counts[pv.offerOf(&order)] += intent.Count
	}
	return counts
}

// offerOf returns the cloud offer that a request is for.
func (pv *provisioning) offerOf(order *provisioner.ScaleOut) autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{
		Type: pv.replica.model.TypeNames.ID(order.Type),
		Zone: pv.replica.model.Zones.ID(order.Zone),
		Spot: order.Spot,
	}
}

// scaleOut requests machines under a unique name: from the leader's own provisioner or, while the singleton roles are
// distributed, by an intent in the log.
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
		term.provisioning.scaleOuts[order.Name] = order
		return
	}
	// The holder of the provisioning role picks the intent up from the log.
	pv.commits.propose(model.NewIntent(
		&model.MachineInfo{Name: order.Name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}, order.Count,
	))
}

// onOwnProvisionerResult processes the result of a cloud request of the leader's own provisioner. It must run on the
// leader's event loop.
func (pv *provisioning) onOwnProvisionerResult(term *leaderTerm, outcome *provisioner.Result) {
	pv.onProvisionerResult(term, outcome)
	if outcome.Kind == provisioner.MachinesListed {
		pv.releaseUnlisted(pv.unlistedMachines(outcome.Listing, outcome.Elapsed))
	}
}

// onProvisionerResult processes the result of a cloud request, which may be reported by the holder of the provisioning
// role. That holder reports the rows of the machine list that are not in the log, and the machines that are missing
// from the list. It must run on the leader's event loop.
func (pv *provisioning) onProvisionerResult(term *leaderTerm, outcome *provisioner.Result) {
	switch outcome.Kind {
	case provisioner.ScaledOut:
		pv.onScaledOut(term, outcome)
	case provisioner.Released:
		pv.onReleased(term, outcome.Machines)
	case provisioner.MachinesListed:
		term.provisioning.cloudUnavailable = false
		for i := range outcome.Listing {
			pv.onMachineListed(&outcome.Listing[i])
		}
	case provisioner.MachinesUnlisted:
		pv.releaseUnlisted(outcome.Machines)
	case provisioner.TypesListed:
		for i := range outcome.MachineTypes {
			pv.recordType(&outcome.MachineTypes[i])
		}
	case provisioner.CloudUnavailable:
		term.provisioning.cloudUnavailable = true
	}
}

// onReleased processes the confirmed release of machines, and requests replacements for the suspect ones among them.
func (pv *provisioning) onReleased(term *leaderTerm, names []string) {
	replacements := map[autoscaler.InstanceOffer]int{}
	for _, name := range names {
		machine := pv.replica.model.MachinesByName[name]
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

// replaceReleased requests replacements for machines released in a partitioned zone, because the fleet plan requests
// none for them. The replacements boot during the partition and do not count as capacity until it ends. Without them,
// the zone would have no machines after the partition until new ones have booted, or for as long as the cloud is
// unavailable.
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

// onScaledOut processes the machines that a scale-out returned. These are fewer than requested if the cloud has no
// more.
func (pv *provisioning) onScaledOut(term *leaderTerm, outcome *provisioner.Result) {
	order := &outcome.ScaleOut
	_, requested := term.provisioning.scaleOuts[order.Name]
	intent := slices.ContainsFunc(pv.replica.model.Intents, func(i model.Intent) bool { return i.Name == order.Name })
	if !requested && !intent {
		return // duplicate result
	}
	delete(term.provisioning.scaleOuts, order.Name)
	offer := pv.offerOf(order)
	pv.metrics.Provisioned.Add(len(outcome.Machines))
	if len(outcome.Machines) < order.Count {
		pv.metrics.ProvisionRejected.Inc()
		pv.autoscaler.OnRefused(offer, pv.now())
		pv.log.Info("scale-out incomplete", "type", order.Type, "zone", order.Zone, "spot", order.Spot,
			"requested", order.Count, "provisioned", len(outcome.Machines))
	} else {
		pv.autoscaler.OnAvailable(offer)
	}
	for _, name := range outcome.Machines {
		if pv.replica.model.MachinesByName[name] != nil || pv.replica.model.Tombstones[name] {
			continue
		}
		pv.recordMachine(model.MachineInfo{Name: name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}, 0)
		pv.replica.model.MachinesByName[name].Lifecycle.ProvisionedAt = pv.now() - outcome.Elapsed
	}
	if intent {
		// The intent is marked as done after the machines are logged: a new leader that finds the intent open repeats
		// the request under the same name, and gets the same machines.
		pv.commits.propose(model.NewIntentDone(order.Name))
	}
}

// recordMachine writes a machine that the log does not contain to the log, with the time ageMillis ago as its start.
func (pv *provisioning) recordMachine(info model.MachineInfo, ageMillis int64) {
	pv.commits.propose(model.NewMachine(pv.replica.model.NextMachine, time.Now().UnixMilli()-ageMillis, &info))
}

// maxListDuration is the expected upper bound on the time for reading the whole machine list; a longer time is used if
// the last listing took longer. The list has a page for each 500 machines, and its requests share the cloud's rate
// limit with scale-out and scale-in.
const maxListDuration = 10 * time.Second

// unlistedMachines returns the names of the machines that are missing from the cloud's list, because they were
// preempted or have failed. The list lags, may be older than the previous one, and takes time to read, during which
// machines can appear on pages that were already read. So a machine counts as missing only if this replica has known it
// for longer than minAge, which covers these delays. Once a machine is missing, it stays missing, so the names may be
// used later.
func (pv *provisioning) unlistedMachines(rows []wire.ListedMachine, elapsed time.Duration) (names []string) {
	listed := map[string]bool{}
	for i := range rows {
		listed[rows[i].Name] = true
	}
	now := pv.now()
	listLag := config.Seconds(2 * pv.settings.Params.Cloud.ListLagS)
	minAge := listLag + max(maxListDuration, elapsed+elapsed/2)
	for _, machine := range pv.replica.model.MachinesInOrder {
		if !listed[machine.Info.Name] && now-machine.Contact.KnownSince > minAge {
			names = append(names, machine.Info.Name)
		}
	}
	return names
}

// releaseUnlisted releases the silent ones among the machines that the cloud no longer lists. The list does not prove
// that a machine is gone, so its tasks count as ended only when the cloud confirms the release. Without this release,
// machines of one zone that are preempted together look like a zone partition, during which they are not released, and
// tasks that must run in that zone wait for a minute and a half.
func (pv *provisioning) releaseUnlisted(names []string) {
	for _, name := range names {
		machine := pv.replica.model.MachinesByName[name]
		if machine != nil && machine.SilentFor(pv.now()) > pv.probeAfter() {
			pv.releaseMachine(machine, "not in cloud listing")
		}
	}
}

// recordType writes a machine type to the log if the type is new or has changed in more than its price.
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

// sameResources reports whether two descriptions of a type differ at most in price.
func sameResources(a, b *wire.MachineType) bool {
	return a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.CacheGB == b.CacheGB &&
		a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
}

// onMachineListed processes a row of the cloud's machine list. Because the list lags, only three facts are taken from a
// row: that a machine exists, that it has failed, and its address.
func (pv *provisioning) onMachineListed(row *wire.ListedMachine) {
	if pv.replica.model.Tombstones[row.Name] {
		return
	}
	machine := pv.replica.model.MachinesByName[row.Name]
	if machine == nil {
		pv.log.Info("machine discovered", "machine", row.Name, "type", row.Type, "zone", row.Zone, "state", row.State)
		info := model.MachineInfo{Name: row.Name, Addr: row.Addr, Type: row.Type, Zone: row.Zone, Spot: row.Spot}
		pv.recordMachine(info, int64(row.AgeS*1000))
		machine = pv.replica.model.MachinesByName[row.Name]
	}
	if machine.Info.Addr == "" {
		pv.recordAddr(machine, row.Addr)
	}
	if row.State == wire.MachineFailed {
		pv.releaseMachine(machine, "failed in cloud listing")
	}
}

// desiredCapacity returns the scale-outs and releases that committed log entries request.
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
	for _, machine := range pv.replica.model.MachinesInOrder {
		if machine.Releasing && machine.ReleaseSeq <= committed {
			desired.Releases = append(desired.Releases, machine.Info.Name)
		}
	}
	return desired
}
