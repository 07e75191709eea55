package controller

import (
	"context"
	"encoding/binary"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// zoneLiveness finds out whether work in a zone that is cut off goes on under a controller there.
type zoneLiveness struct {
	*environment
	keepalives *followerKeepalives
	loop       *eventLoop
	replica    *replica
	term       *termState

	lastPartitionReport time.Time // when this node last told the leader that it does not reach it
}

// zoneLivenessTerm is what zoneLiveness keeps for one term of leadership.
type zoneLivenessTerm struct {
	nodes                  map[string]*partitionedNode // what was seen of nodes that this one does not reach
	partitionQueryInFlight bool                        // which nodes are apart
	lastPartitionQuery     time.Time
}

// partitionReportInterval is how often a node that does not reach the leader says so.
const partitionReportInterval = 5 * time.Second

// partitionedNode is what the leader has seen of a node that does not reach it.
type partitionedNode struct {
	version         uint64
	updatedAt       time.Time                // when its record was last seen to be new
	clearedMachines map[model.MachineID]bool // machines that came to it and held nothing of a cancelled job
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

// isCleared tells whether a node that does not reach this one has just heard from a machine, and nothing of a
// cancelled job was left there.
func (r *leaderTerm) isCleared(id model.MachineID) bool {
	for _, a := range r.zones.nodes {
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
func (zl *zoneLiveness) mayBeAlive(term *leaderTerm, zone string) bool {
	if zone == zl.settings.Zone || term.zones.lastPartitionQuery.IsZero() ||
		time.Since(term.zones.lastPartitionQuery) > 2*partitionReportInterval {
		return true
	}
	for _, m := range zl.settings.Members {
		if m.Zone != zone {
			continue
		}
		if time.Since(zl.links[m.Node].LastResponse()) < 2*linkFreshness {
			return true
		}
		if a := term.zones.nodes[m.Node]; a != nil && time.Since(a.updatedAt) < 2*partitionReportInterval {
			return true
		}
	}
	return false
}

// queryPartitionedNodes reads which nodes don't reach the leader.
func (zl *zoneLiveness) queryPartitionedNodes(term *leaderTerm) {
	term.zones.partitionQueryInFlight = true
	go func() {
		list, err := zl.oplog.PartitionedNodes(term.ctx)
		zl.loop.post(func() {
			term.zones.partitionQueryInFlight = false
			if zl.term.ownTerm != term || err != nil {
				return
			}
			term.zones.lastPartitionQuery = time.Now()
			for _, a := range list {
				old := term.zones.nodes[a.Node]
				switch {
				case old == nil:
					term.zones.nodes[a.Node] = &partitionedNode{version: a.Version, clearedMachines: decodeCleared(&a)}
					// A record seen for the first time may be old: only one that
					// knows the log to nearly its end counts at once.
					if a.Seq+maxPartitionReportLag > term.commits.committedSeq {
						term.zones.nodes[a.Node].updatedAt = time.Now()
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
func (zl *zoneLiveness) reportPartition() {
	now := time.Now()
	if zl.term.ownTerm != nil || !zl.replica.loaded || zl.term.leader == nil ||
		now.Sub(zl.lastPartitionReport) < partitionReportInterval ||
		now.Sub(zl.replica.caughtUpAt) > 2*followTimeout {
		return
	}
	if link := zl.links[zl.term.leader.Node]; link == nil || now.Sub(link.LastResponse()) < linkFreshness {
		return
	}
	zl.lastPartitionReport = now
	maxData := zl.oplog.MaxData()
	room := (maxData - binary.MaxVarintLen32) * zl.oplog.MaxPartitionedNodeParts() // a part may end a number early
	parts := splitVarints(zl.keepalives.clearedMachines.encode(zl.replica.model, now, room), maxData)
	record := oplog.PartitionedNode{
		Node:  zl.settings.Node,
		Seq:   zl.replica.appliedSeq,
		Data:  parts[0],
		Parts: parts[1:],
	}
	go func() {
		ctx, cancel := context.WithTimeout(zl.ctx, partitionReportInterval)
		defer cancel()
		if err := zl.oplog.PutPartitionedNode(ctx, record); err != nil {
			zl.log.Debug("partition report failed", "err", err)
		}
	}()
}
