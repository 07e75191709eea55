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

// provisioning scales the fleet out and in: plans, rents, releases, and takes in the cloud's answers.
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

// provisioningTerm is what provisioning keeps for one term of leadership.
type provisioningTerm struct {
	scaleOutCount    int
	orders           map[string]provisioner.ScaleOut // rentals that are asked for, by name
	provisioner      *provisioner.Provisioner
	lastAutoscale    time.Time
	cloudUnavailable bool // it did not list the machines when last asked
}

// recordAddr logs where a machine is, for the next leader to ask it.
func (pv *provisioning) recordAddr(machine *model.Machine, addr string) {
	if addr == "" || machine.Info.Addr == addr {
		return
	}
	info := machine.Info
	info.Addr = addr
	pv.commits.propose(&model.Entry{Kind: model.EntryMachine, Machine: machine.ID, At: machine.At, Info: &info})
}

// releaseMachine has a machine returned, once the log has it; its tasks are gone when the
// cloud says so.
func (pv *provisioning) releaseMachine(machine *model.Machine, reason string) {
	if machine.Releasing {
		return
	}
	pv.commits.propose(&model.Entry{Kind: model.EntryRelease, Machine: machine.ID})
	pv.metrics.ScaledIn.Inc()
	pv.log.Info("machine released", "machine", machine.Info.Name, "type", machine.Info.Type,
		"zone", machine.Info.Zone, "tasks", len(machine.Runs), "reason", reason)
}

// runAutoscaler rents and returns.
func (pv *provisioning) runAutoscaler(term *leaderTerm) {
	if !pv.replica.model.TypesKnown() {
		return
	}
	pv.health.checkMachineHealth(term)
	pv.telemetry.logMachineSummary(term)
	now := pv.now()
	pv.autoscaler.InFlight = pv.openScaleOuts()
	plan := pv.autoscaler.Plan(pv.replica.model, now)
	pv.rounds.scheduler.DrainTarget = plan.Vacate
	pv.rounds.scheduler.ServiceHeadroom, pv.rounds.scheduler.ServiceSlots, pv.rounds.scheduler.LowPriorityAllowed = plan.Headroom, plan.ForServices, plan.LowPriorityAllowed
	for _, machine := range pv.replica.model.Order {
		if machine.Lifecycle.Draining != plan.Drain[machine] {
			pv.log.Info("machine drain changed", "machine", machine.Info.Name, "type", machine.Info.Type,
				"draining", !machine.Lifecycle.Draining)
			machine.Lifecycle.Draining = !machine.Lifecycle.Draining
			pv.loop.roundRequested = true
		}
	}
	for _, machine := range plan.ScaleIn {
		if term.provisioning.cloudUnavailable {
			break // it could not be returned, and not be used either
		}
		pv.releaseMachine(machine, "idle and not needed")
	}
	// The cloud's rate is small, so few requests are under way at once and none
	// twice for the same offer: the answer to the first tells what is left.
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

// newProvisioner makes a desk that works until a context ends, while it is trusted.
func (pv *provisioning) newProvisioner(
	ctx context.Context,
	trusted func() bool,
	onResult func(provisioner.Result),
) *provisioner.Provisioner {
	rps := pv.settings.Params.Cloud.RPS
	return provisioner.New(
		ctx,
		pv.cloud,
		max(2, int(rps)),
		max(2*time.Second, config.Seconds(8/rps)),
		trusted,
		pv.loop.post,
		onResult,
		pv.log,
	)
}

// runProvisioner has the leader's own desk do what is wanted. Where the duty is held by itself, that is only what was
// begun before.
func (pv *provisioning) runProvisioner(now time.Time) {
	term := pv.term.ownTerm
	desired := pv.desiredCapacity()
	if pv.roles.rolesDistributed() {
		if len(term.provisioning.orders) == 0 {
			return
		}
		desired = provisioner.Desired{}
	}
	for _, o := range term.provisioning.orders {
		desired.ScaleOuts = append(desired.ScaleOuts, o)
	}
	term.provisioning.provisioner.Reconcile(now, desired)
}

// openScaleOuts counts what is asked for and not answered, by offer.
func (pv *provisioning) openScaleOuts() map[autoscaler.InstanceOffer]int {
	counts := map[autoscaler.InstanceOffer]int{}
	for _, o := range pv.term.ownTerm.provisioning.orders {
		counts[pv.offerOf(&o)] += o.Count
	}
	for _, i := range pv.replica.model.Intents {
		counts[pv.offerOf(&provisioner.ScaleOut{Type: i.Type, Zone: i.Zone, Spot: i.Spot})] += i.Count
	}
	return counts
}

func (pv *provisioning) offerOf(order *provisioner.ScaleOut) autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{
		Type: pv.replica.model.TypeNames.ID(order.Type),
		Zone: pv.replica.model.Zones.ID(order.Zone),
		Spot: order.Spot,
	}
}

// scaleOut asks for machines.
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
	// Whoever deals with the cloud reads it in the log.
	pv.commits.propose(
		&model.Entry{
			Kind:  model.EntryIntent,
			Info:  &model.MachineInfo{Name: order.Name, Type: order.Type, Zone: order.Zone, Spot: order.Spot},
			Count: order.Count,
		},
	)
}

// onProvisionerResult takes in what came of a request to the cloud.
func (pv *provisioning) onProvisionerResult(term *leaderTerm, result *provisioner.Result) {
	switch result.Kind {
	case provisioner.ScaledOut:
		pv.onScaledOut(term, result)
	case provisioner.Released:
		replacements := map[autoscaler.InstanceOffer]int{}
		for _, name := range result.Machines {
			if machine := pv.replica.model.ByName[name]; machine != nil && machine.Releasing {
				offer := autoscaler.InstanceOffer{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
				pv.autoscaler.OnAvailable(offer)
				if machine.Suspect {
					replacements[offer]++
				}
				pv.commits.propose(&model.Entry{Kind: model.EntryGone, Machine: machine.ID})
				pv.loop.roundRequested = true
			}
		}
		pv.replaceReleased(term, replacements)
	case provisioner.MachinesListed:
		term.provisioning.cloudUnavailable = false
		for i := range result.Listing {
			pv.onListed(&result.Listing[i])
		}
		pv.releaseUnlisted(result.Listing, result.Elapsed)
	case provisioner.TypesListed:
		for i := range result.MachineTypes {
			pv.recordType(&result.MachineTypes[i])
		}
	case provisioner.CloudUnavailable:
		term.provisioning.cloudUnavailable = true
	}
}

// replaceReleased rents machines in place of those that were returned in a cut zone, where the plan rents nothing: so
// they are up, or nearly, when the cut ends. Until then they count for nothing. Without it a zone that came back
// stood empty while its machines booted, and for as long as the cloud was down.
func (pv *provisioning) replaceReleased(term *leaderTerm, offers map[autoscaler.InstanceOffer]int) {
	for offer, count := range offers {
		for ; count > 0; count -= wire.MaxScaleOut {
			pv.scaleOut(
				term,
				autoscaler.ScaleOut{
					InstanceOffer: offer,
					Count:         min(count, wire.MaxScaleOut),
					Purpose:       "replacement in partitioned zone",
				},
			)
		}
	}
}

func (pv *provisioning) onScaledOut(term *leaderTerm, result *provisioner.Result) {
	order := &result.ScaleOut
	_, requested := term.provisioning.orders[order.Name]
	intent := slices.ContainsFunc(pv.replica.model.Intents, func(i model.Intent) bool { return i.Name == order.Name })
	if !requested && !intent {
		return // told before
	}
	delete(term.provisioning.orders, order.Name)
	offer := pv.offerOf(order)
	pv.metrics.Provisioned.Add(len(result.Machines))
	if len(result.Machines) < order.Count {
		pv.metrics.ProvisionRefused.Inc()
		pv.autoscaler.OnRefused(offer, pv.now())
		pv.log.Info("scale-out incomplete", "type", order.Type, "zone", order.Zone, "spot", order.Spot,
			"requested", order.Count, "provisioned", len(result.Machines))
	} else {
		pv.autoscaler.OnAvailable(offer)
	}
	for _, name := range result.Machines {
		if pv.replica.model.ByName[name] != nil || pv.replica.model.Tombstones[name] {
			continue
		}
		pv.commits.propose(
			&model.Entry{Kind: model.EntryMachine, Machine: pv.replica.model.NextMachine, At: time.Now().UnixMilli(),
				Info: &model.MachineInfo{Name: name, Type: order.Type, Zone: order.Zone, Spot: order.Spot}},
		)
		pv.replica.model.ByName[name].Lifecycle.ProvisionedAt = pv.now() - result.Elapsed
	}
	if intent { // behind its machines: a successor that finds it open asks again, and is told the same names
		pv.commits.propose(&model.Entry{Kind: model.EntryIntentDone, Info: &model.MachineInfo{Name: order.Name}})
	}
}

// releaseUnlisted gives up silent machines that the cloud does not list, though they were rented long enough ago:
// they were taken, or have died. The list lags, one may be older than the one before, and reading it took a while, in
// which machines came behind what was read; so absence counts only of machines that this leader has known for longer
// than all that. It is a hint, not evidence: that is the answer to the return. Without it, machines of one zone that
// are taken together look like a cut, in which they would be left alone, and what must run there waited for a minute
// and a half.
func (pv *provisioning) releaseUnlisted(rows []wire.ListedMachine, took time.Duration) {
	if pv.roles.rolesDistributed() {
		return // whoever deals with the cloud passes on only what the log does not know
	}
	listed := map[string]bool{}
	for i := range rows {
		listed[rows[i].Name] = true
	}
	now, minAge := pv.now(), config.Seconds(2*pv.settings.Params.Cloud.ListLagS)+max(maxListDuration, took+took/2)
	for _, machine := range pv.replica.model.Order {
		if !listed[machine.Info.Name] && now-machine.Contact.KnownSince > minAge &&
			machine.SilentFor(now) > pv.probeAfter() {
			pv.releaseMachine(machine, "not in cloud listing")
		}
	}
}

// maxListDuration is more than it takes to read the whole list of machines, unless it is seen to take longer: it has a
// page for each 500 machines, and its requests share the cloud's rate with rentals and returns.
const maxListDuration = 10 * time.Second

// recordType logs a type that is new or has changed in more than its price.
func (pv *provisioning) recordType(t *wire.MachineType) {
	if id, ok := pv.replica.model.TypeNames.Find(
		t.Name,
	); ok && int(id) < len(pv.replica.model.Types) &&
		pv.replica.model.Types[id].Known {
		old := &pv.replica.model.Types[id].MachineType
		a, b := *old, *t
		a.Price, a.SpotPrice, a.Zones = 0, 0, nil
		b.Price, b.SpotPrice, b.Zones = 0, 0, nil
		if a.CPUs == b.CPUs && a.GPUs == b.GPUs && a.MemoryGB == b.MemoryGB && a.CacheGB == b.CacheGB &&
			a.FetchGBPerS == b.FetchGBPerS && a.BootS == b.BootS && strings.Join(old.Zones, " ") == strings.Join(t.Zones, " ") {
			old.Price, old.SpotPrice = t.Price, t.SpotPrice
			return
		}
	}
	pv.commits.propose(&model.Entry{Kind: model.EntryType, Type: t})
	pv.loop.roundRequested = true
}

// onListed takes in a row of the machine list. The list lags, so only three things
// are taken from it: machines nobody knew, machines that failed, and addresses.
func (pv *provisioning) onListed(row *wire.ListedMachine) {
	if pv.replica.model.Tombstones[row.Name] {
		return
	}
	machine := pv.replica.model.ByName[row.Name]
	if machine == nil {
		pv.log.Info("machine discovered", "machine", row.Name, "type", row.Type, "zone", row.Zone, "state", row.State)
		pv.commits.propose(
			&model.Entry{
				Kind:    model.EntryMachine,
				Machine: pv.replica.model.NextMachine,
				At:      time.Now().UnixMilli() - int64(row.AgeS*1000),
				Info: &model.MachineInfo{
					Name: row.Name,
					Addr: row.Addr,
					Type: row.Type,
					Zone: row.Zone,
					Spot: row.Spot,
				},
			},
		)
		machine = pv.replica.model.ByName[row.Name]
	}
	if machine.Info.Addr == "" {
		pv.recordAddr(machine, row.Addr)
	}
	if row.State == wire.MachineFailed {
		pv.releaseMachine(machine, "failed in cloud listing")
	}
}

// desiredCapacity is what the log says is to be done at the cloud, as far as this node has it for sure.
func (pv *provisioning) desiredCapacity() provisioner.Desired {
	committed := pv.replica.appliedSeq
	if pv.term.ownTerm != nil {
		committed = pv.term.ownTerm.commits.committedSeq
	}
	desired := provisioner.Desired{TypesUnknown: !pv.replica.model.TypesKnown()}
	for _, i := range pv.replica.model.Intents {
		if i.Seq <= committed {
			desired.ScaleOuts = append(
				desired.ScaleOuts,
				provisioner.ScaleOut{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot, Count: i.Count},
			)
		}
	}
	for _, machine := range pv.replica.model.Order {
		if machine.Releasing && machine.ReleaseSeq <= committed {
			desired.Releases = append(desired.Releases, machine.Info.Name)
		}
	}
	return desired
}
