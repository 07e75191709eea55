package model

import (
	"slices"

	"fieldhill/internal/agents/lease"
)

// machineTable is the replicated table of machines: those that are not evidently gone, the names of those that are
// (tombstones), and the requests by which others may come (intents).
type machineTable struct {
	Machines map[MachineID]*Machine
	Order    []*Machine // in the order in which the log named them, and so by id
	ByName   map[string]*Machine
	// NextMachine is the id of the next one that is named.
	NextMachine MachineID
	// Tombstones are the names of machines that are gone.
	Tombstones map[string]bool
	// Intents are the scale-out requests that may be under way, in the order of the log.
	Intents []Intent

	tombstoneRing []string // the tombstones in the order in which the machines went
	maxFleetSize  int      // how many machines there were at once at most, as far as this process knows
}

// Intent is a scale-out request whose result is not known. The log has it before anybody asks the cloud, so whoever has
// to finish it does so under the same name, and provisions nothing twice.
type Intent struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
	Seq              uint64 // the log's number of it
}

// minTombstones is how many names of gone machines are kept at least. Of a larger fleet twice as many as it ever had
// are, so that none is forgotten while a list lags though all machines were lost and others were provisioned. Replicas
// may differ in how many they keep: no entry is applied otherwise for it.
const minTombstones = 1024

func newMachineTable() machineTable {
	return machineTable{
		Machines:    map[MachineID]*Machine{},
		ByName:      map[string]*Machine{},
		Tombstones:  map[string]bool{},
		NextMachine: 1,
	}
}

// updateAddress tells whether a machine is known by its name. If so, and its address is given, that is taken in: it was
// provisioned, and has reported where it is.
func (t *machineTable) updateAddress(info *MachineInfo) (known bool) {
	machine := t.ByName[info.Name]
	if machine != nil && info.Addr != "" {
		machine.Info.Addr = info.Addr
	}
	return machine != nil
}

// insertMachine takes in a machine that was just named.
func (t *machineTable) insertMachine(machine *Machine) {
	t.Machines[machine.ID] = machine
	t.ByName[machine.Info.Name] = machine
	t.Order = append(t.Order, machine)
	t.maxFleetSize = max(t.maxFleetSize, len(t.Order))
	t.NextMachine = max(t.NextMachine, machine.ID+1)
}

// deleteMachine replaces a machine by its tombstone.
func (t *machineTable) deleteMachine(machine *Machine) {
	delete(t.Machines, machine.ID)
	delete(t.ByName, machine.Info.Name)
	if i := slices.Index(t.Order, machine); i >= 0 {
		// Not slices.Delete: the caller may be going through the list, whose end must not become nil under it.
		t.Order = append(t.Order[:i], t.Order[i+1:]...)
	}
	t.addTombstone(machine.Info.Name)
}

// addTombstone remembers a gone machine's name, so that a late report or a lagging list
// does not bring it back.
func (t *machineTable) addTombstone(name string) {
	if t.Tombstones[name] {
		return
	}
	t.Tombstones[name] = true
	t.tombstoneRing = append(t.tombstoneRing, name)
	if len(t.tombstoneRing) > max(minTombstones, 2*t.maxFleetSize) {
		delete(t.Tombstones, t.tombstoneRing[0])
		t.tombstoneRing = t.tombstoneRing[1:]
	}
}

// releaseMachine notes that the deletion of a machine may be under way from now on.
func (t *machineTable) releaseMachine(id MachineID, seq uint64) {
	if machine := t.Machines[id]; machine != nil && !machine.Releasing {
		machine.Releasing, machine.ReleaseSeq = true, seq
	}
}

// setSuspect makes a machine suspect, or takes that back. Either way what was known of its lease counts no more.
func (t *machineTable) setSuspect(id MachineID, suspect bool, seq uint64) {
	machine := t.Machines[id]
	if machine == nil {
		return
	}
	machine.Suspect, machine.suspectSeq = suspect, seq
	machine.Contact.SuspectFrom, machine.Contact.Renewals = 0, lease.ExpiryProof{}
}

// addIntent takes in a request, unless one of its name is known: it was repeated.
func (t *machineTable) addIntent(intent Intent) {
	if t.intentIndex(intent.Name) < 0 {
		t.Intents = append(t.Intents, intent)
	}
}

// removeIntent drops the request of a name: its result is known.
func (t *machineTable) removeIntent(name string) {
	if i := t.intentIndex(name); i >= 0 {
		t.Intents = slices.Delete(t.Intents, i, i+1)
	}
}

// intentIndex finds a request, -1 if there is none.
func (t *machineTable) intentIndex(name string) int {
	return slices.IndexFunc(t.Intents, func(i Intent) bool { return i.Name == name })
}
