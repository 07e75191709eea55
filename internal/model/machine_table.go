package model

import (
	"slices"

	"fieldhill/internal/agents/lease"
)

// machineTable is the replicated table of machines. It also holds the names of machines that are gone (tombstones) and
// the scale-out requests that may still add machines (intents).
type machineTable struct {
	Machines        map[MachineID]*Machine
	MachinesInOrder []*Machine // in log order, and so by ID
	MachinesByName  map[string]*Machine
	// ID of the next machine to be added.
	NextMachine MachineID
	// Names of machines that are gone.
	Tombstones map[string]bool
	// Scale-out requests that may be in flight, in log order.
	Intents []Intent

	tombstoneQueue []string // tombstones, oldest first
	maxFleetSize   int      // largest number of machines at one time, as known to this process
}

// Intent is a scale-out request whose result is not known. It is logged before the request is sent to the cloud, so
// that a later leader retries it under the same name and nothing is provisioned twice.
type Intent struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
	Seq              uint64 // log sequence number
}

// minTombstones is the minimum number of tombstones kept. Larger fleets keep twice the largest fleet size, so that no
// tombstone is dropped while the cloud's listing lags, even if all machines were lost and replaced. Replicas may keep
// different numbers of tombstones, because Apply does not depend on them.
const minTombstones = 1024

func newMachineTable() machineTable {
	return machineTable{
		Machines:       map[MachineID]*Machine{},
		MachinesByName: map[string]*Machine{},
		Tombstones:     map[string]bool{},
		NextMachine:    1,
	}
}

// updateAddress reports whether a machine with the name in info is known. If so, and if info contains an address, that
// address replaces the machine's: a machine that was provisioned without an address reports it later.
func (t *machineTable) updateAddress(info *MachineInfo) (known bool) {
	machine := t.MachinesByName[info.Name]
	if machine != nil && info.Addr != "" {
		machine.Info.Addr = info.Addr
	}
	return machine != nil
}

func (t *machineTable) insertMachine(machine *Machine) {
	t.Machines[machine.ID] = machine
	t.MachinesByName[machine.Info.Name] = machine
	t.MachinesInOrder = append(t.MachinesInOrder, machine)
	t.maxFleetSize = max(t.maxFleetSize, len(t.MachinesInOrder))
	t.NextMachine = max(t.NextMachine, machine.ID+1)
}

// deleteMachine replaces a machine by its tombstone.
func (t *machineTable) deleteMachine(machine *Machine) {
	delete(t.Machines, machine.ID)
	delete(t.MachinesByName, machine.Info.Name)
	if i := slices.Index(t.MachinesInOrder, machine); i >= 0 {
		// slices.Delete would zero the tail of the slice, which a caller may be iterating over.
		t.MachinesInOrder = append(t.MachinesInOrder[:i], t.MachinesInOrder[i+1:]...)
	}
	t.addTombstone(machine.Info.Name)
}

// addTombstone stores the name of a machine that is gone, so that a late report or a stale listing does not add it
// again. If there are too many tombstones, it drops the oldest one.
func (t *machineTable) addTombstone(name string) {
	if t.Tombstones[name] {
		return
	}
	t.Tombstones[name] = true
	t.tombstoneQueue = append(t.tombstoneQueue, name)
	if len(t.tombstoneQueue) > max(minTombstones, 2*t.maxFleetSize) {
		delete(t.Tombstones, t.tombstoneQueue[0])
		t.tombstoneQueue = t.tombstoneQueue[1:]
	}
}

// releaseMachine records that the machine's deletion may be in flight from now on.
func (t *machineTable) releaseMachine(id MachineID, seq uint64) {
	if machine := t.Machines[id]; machine != nil && !machine.Releasing {
		machine.Releasing, machine.ReleaseSeq = true, seq
	}
}

// setSuspect sets or clears the suspicion of a machine. Either way it discards the evidence that the machine's lease
// has expired, because that evidence applies only to the previous suspicion.
func (t *machineTable) setSuspect(id MachineID, suspect bool, seq uint64) {
	machine := t.Machines[id]
	if machine == nil {
		return
	}
	machine.Suspect, machine.suspectSeq = suspect, seq
	machine.Contact.SuspectFrom, machine.Contact.Renewals = 0, lease.ExpiryProof{}
}

// addIntent adds a scale-out request, unless one with the same name is known: requests may be repeated.
func (t *machineTable) addIntent(intent Intent) {
	if t.intentIndex(intent.Name) < 0 {
		t.Intents = append(t.Intents, intent)
	}
}

// removeIntent removes a scale-out request by name, once its result is known.
func (t *machineTable) removeIntent(name string) {
	if i := t.intentIndex(name); i >= 0 {
		t.Intents = slices.Delete(t.Intents, i, i+1)
	}
}

// intentIndex returns the index of the scale-out request with the given name, or -1.
func (t *machineTable) intentIndex(name string) int {
	return slices.IndexFunc(t.Intents, func(i Intent) bool { return i.Name == name })
}
