package controller

import (
	"context"
	"encoding/binary"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// This file is what a node that reads the log but does not reach the leader tells it, by way of the state service, and what the leader makes of that.

// partitionReportInterval is how often a node that does not reach the leader says so.
const partitionReportInterval = 5 * time.Second

// partitionedNode is what the leader has seen of a node that does not reach it.
type partitionedNode struct {
	version         uint64
	updatedAt       time.Time                // when its record was last seen to be new
	clearedMachines map[model.MachineID]bool // machines that came to it and held nothing of a cancelled job
}

// clearedMachines is when machines last came to this node, which does not lead, and held nothing of a cancelled job.
type clearedMachines map[model.MachineID]time.Time

// encode lists the machines that came lately, of those that by the log hold something of a cancelled job, in so many bytes: the others are of no interest.
func (c clearedMachines) encode(m *model.Model, now time.Time, maxBytes int) (b []byte) {
	for _, machine := range m.Order {
		if at, ok := c[machine.ID]; ok && now.Sub(at) < 2*partitionReportInterval && machine.HasCancelledTask() && len(b)+5 <= maxBytes {
			b = codec.Uint(b, uint64(machine.ID))
		}
	}
	return b
}

// splitVarints cuts such a list between its numbers into parts of most bytes, one at least.
func splitVarints(b []byte, maxBytes int) (parts [][]byte) {
	const continuation = 0x80 // in each byte of a number but the last
	for len(b) > maxBytes {
		end := maxBytes
		for b[end-1]&continuation != 0 {
			end--
		}
		parts, b = append(parts, b[:end]), b[end:]
	}
	return append(parts, b)
}

// decodeCleared reads such a list, from all parts of a record; what a malformed one says does not count.
func decodeCleared(a *oplog.PartitionedNode) map[model.MachineID]bool {
	out := map[model.MachineID]bool{}
	for _, part := range append([][]byte{a.Data}, a.Parts...) {
		for r := (&codec.Reader{Data: part}); len(r.Data) > 0; {
			if id := model.MachineID(r.Uint()); r.Err == nil {
				out[id] = true
			}
		}
	}
	return out
}

// isCleared tells whether a node that does not reach this one has just heard from a machine, and nothing of a cancelled job was left there.
func (r *leaderTerm) isCleared(id model.MachineID) bool {
	for _, a := range r.partitionedNodes {
		if a.clearedMachines[id] && time.Since(a.updatedAt) < 2*partitionReportInterval {
			return true
		}
	}
	return false
}

// mayBeAlive tells whether work in a zone may go on without this node: a controller
// there is reached, or reads the log and so keeps the zone's workers. Then the
// zone is not cut off from everything, but only parted from the leader. As long
// as that is not known, it may be so.
func (n *Controller) mayBeAlive(term *leaderTerm, zone string) bool {
	if zone == n.settings.Zone || term.lastPartitionQuery.IsZero() || time.Since(term.lastPartitionQuery) > 2*partitionReportInterval {
		return true
	}
	for _, m := range n.settings.Members {
		if m.Zone != zone {
			continue
		}
		if time.Since(n.links[m.Node].LastResponse()) < 2*linkFreshness {
			return true
		}
		if a := term.partitionedNodes[m.Node]; a != nil && time.Since(a.updatedAt) < 2*partitionReportInterval {
			return true
		}
	}
	return false
}

// queryPartitionedNodes reads which nodes don't reach the leader.
func (n *Controller) queryPartitionedNodes(term *leaderTerm) {
	term.partitionQueryInFlight = true
	go func() {
		list, err := n.oplog.PartitionedNodes(term.ctx)
		n.post(func() {
			term.partitionQueryInFlight = false
			if n.ownTerm != term || err != nil {
				return
			}
			term.lastPartitionQuery = time.Now()
			for _, a := range list {
				old := term.partitionedNodes[a.Node]
				switch {
				case old == nil:
					term.partitionedNodes[a.Node] = &partitionedNode{version: a.Version, clearedMachines: decodeCleared(&a)}
					// A record seen for the first time may be old: only one that
					// knows the log to nearly its end counts at once.
					if a.Seq+maxPartitionReportLag > term.committedSeq {
						term.partitionedNodes[a.Node].updatedAt = time.Now()
					}
				case old.version != a.Version:
					old.version, old.updatedAt, old.clearedMachines = a.Version, time.Now(), decodeCleared(&a)
				}
			}
		})
	}()
}

// maxPartitionReportLag is how many batches the record of a node may lag behind the log.
const maxPartitionReportLag = 100

// reportPartition tells the leader, by way of the state service, that this node reads the
// log but does not reach it.
func (n *Controller) reportPartition() {
	now := time.Now()
	if n.ownTerm != nil || !n.loaded || n.leader == nil || now.Sub(n.lastPartitionReport) < partitionReportInterval || now.Sub(n.caughtUpAt) > 2*followTimeout {
		return
	}
	if link := n.links[n.leader.Node]; link == nil || now.Sub(link.LastResponse()) < linkFreshness {
		return
	}
	n.lastPartitionReport = now
	maxData := n.oplog.MaxData()
	room := (maxData - binary.MaxVarintLen32) * n.oplog.MaxPartitionedNodeParts() // a part may end a number early
	parts := splitVarints(n.clearedMachines.encode(n.model, now, room), maxData)
	record := oplog.PartitionedNode{Node: n.settings.Node, Seq: n.appliedSeq, Data: parts[0], Parts: parts[1:]}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, partitionReportInterval)
		defer cancel()
		if err := n.oplog.PutPartitionedNode(ctx, record); err != nil {
			n.log.Debug("partition report failed", "err", err)
		}
	}()
}
