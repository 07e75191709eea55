package autoscaler

import (
	"testing"

	"fieldhill/internal/model"
	"fieldhill/wire"
)

// expensiveIn returns the offer of expensive on-demand machines in a zone of the test cloud, and offers it there.
func (c *testCloud) expensiveIn(zone string) InstanceOffer {
	o := InstanceOffer{Type: 1, Zone: c.model.Zones.ID(zone)}
	if o.Zone > 0 {
		c.model.Types[1].ZoneIDs = append(c.model.Types[1].ZoneIDs, o.Zone)
	}
	return o
}

// sameZoneJob returns a job whose tasks fill an expensive machine each and must be in the same zone.
func sameZoneJob(shape string, tasks int) *wire.JobSpec {
	spec := wholeMachineGang(1)
	spec.Shape, spec.Tasks, spec.SameZone = shape, tasks, true
	return spec
}

// TestSameZoneGangWaitsForeverBesideMachinesInTwoZones guards against counting a machine in each of two zones as room
// for a gang of two that must be in one zone, as the cloud leaves them when it fills requests in part: nothing more was
// provisioned, and the gang never started.
func TestSameZoneGangWaitsForeverBesideMachinesInTwoZones(t *testing.T) {
	c := newTestCloud(t, 0)
	a, b := c.expensiveIn("a"), c.expensiveIn("b")
	c.apply(model.NewAcceptance(sameZoneJob(wire.Gang, 2), 0))
	c.available[a], c.available[b] = 1, 1
	c.step()
	c.step()
	c.available[a], c.available[b] = 2, 2 // the cloud has machines again
	c.runUntilPlaced(t, 1, 60e9)
}

// TestSameZoneServiceWaitsForeverForLostReplica guards against counting a machine in another zone as room for the lost
// replica of a service whose other replicas run in one zone.
func TestSameZoneServiceWaitsForeverForLostReplica(t *testing.T) {
	c := newTestCloud(t, 0)
	a, b := c.expensiveIn("a"), c.expensiveIn("b")
	c.apply(model.NewAcceptance(sameZoneJob(wire.Service, 2), 0))
	c.Bind(c.model.Jobs[1], 0, 1, c.boot(a), 0)
	c.boot(b)
	c.available[a] = 1
	c.runUntilPlaced(t, 1, 60e9)
}
