package controller

import (
	"context"
	"encoding/binary"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// zoneLiveness finds out whether work in a partitioned zone goes on under a controller there: what a controller that
// reads the log but does not reach the leader reports through the key-value store, and what the leader makes of that.
//
// It owns when this controller last reported, and in a term what was read of the others' reports. Both are written in
// the loop alone; the store is read and written by goroutines that post their results to it.
type zoneLiveness struct {
	*environment
	keepalives *followerKeepalives
	loop       *eventLoop
	replica    *replica
	term       *termState

	lastPartitionReport time.Time // when this controller last reported that it does not reach the leader
}

// zoneLivenessTerm is what zoneLiveness keeps for one term of leadership.
type zoneLivenessTerm struct {
	nodes                  map[string]*partitionedNode // by name: controllers that reported not to reach this one
	partitionQueryInFlight bool                        // their reports are being read
	lastPartitionQuery     time.Time                   // when they were last read
}

const (
	// partitionReportInterval is how often a controller that does not reach the leader reports so.
	partitionReportInterval = 5 * time.Second
	// partitionReportTTL is for how long such a report counts.
	partitionReportTTL = 2 * partitionReportInterval
	// maxPartitionReportLag is how many batches of the log a report that is read for the first time may lack.
	maxPartitionReportLag = 100
)

// partitionedNode is what the leader has read of a controller that does not reach it.
type partitionedNode struct {
	version         uint64                   // of its record in the store
	updatedAt       time.Time                // when its record was last found to be new
	clearedMachines map[model.MachineID]bool // machines that reported to it, with no task of a cancelled job
}

// isFresh tells whether the controller has reported lately.
func (n *partitionedNode) isFresh() bool { return time.Since(n.updatedAt) < partitionReportTTL }

// splitVarints splits a list of variable-length numbers, between two of them, into parts of at most so many bytes;
// there is at least one part.
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

// decodeCleared reads the machines of clearedMachines.encode from all parts of a record. What is malformed does not
// count.
func decodeCleared(record *oplog.PartitionedNode) map[model.MachineID]bool {
	cleared := map[model.MachineID]bool{}
	for _, part := range append([][]byte{record.Data}, record.Parts...) {
		for r := (&codec.Reader{Data: part}); len(r.Data) > 0; {
			if id := model.MachineID(r.Uint()); r.Err == nil {
				cleared[id] = true
			}
		}
	}
	return cleared
}

// isCleared tells whether a controller that does not reach this one has just heard from a machine, and no task of a
// cancelled job was left there.
func (zt *zoneLivenessTerm) isCleared(id model.MachineID) bool {
	for _, node := range zt.nodes {
		if node.clearedMachines[id] && node.isFresh() {
			return true
		}
	}
	return false
}

// mayBeAlive tells whether work in a zone may go on without this controller: one there is reached, or reads the log and
// so keeps the zone's agents alive. Then the zone is not partitioned from everything, but from the leader alone. As
// long as that is not known, it may be so.
func (zl *zoneLiveness) mayBeAlive(term *leaderTerm, zone string) bool {
	if zone == zl.settings.Zone || term.zones.lastPartitionQuery.IsZero() ||
		time.Since(term.zones.lastPartitionQuery) > partitionReportTTL {
		return true
	}
	for _, m := range zl.settings.Members {
		if m.Zone != zone {
			continue
		}
		if time.Since(zl.links[m.Node].LastResponse()) < 2*linkFreshness {
			return true
		}
		if node := term.zones.nodes[m.Node]; node != nil && node.isFresh() {
			return true
		}
	}
	return false
}

// queryIfDue reads which controllers don't reach the leader, unless that was done a moment ago or is under way.
func (zl *zoneLiveness) queryIfDue(term *leaderTerm) {
	if term.zones.partitionQueryInFlight || time.Since(term.zones.lastPartitionQuery) <= partitionReportInterval/2 {
		return
	}
	term.zones.partitionQueryInFlight = true
	go func() {
		records, err := zl.oplog.PartitionedNodes(term.ctx)
		zl.loop.post(func() { zl.onPartitionedNodes(term, records, err) })
	}()
}

// onPartitionedNodes takes in the records of the controllers that reported not to reach the leader.
func (zl *zoneLiveness) onPartitionedNodes(term *leaderTerm, records []oplog.PartitionedNode, err error) {
	term.zones.partitionQueryInFlight = false
	if zl.term.ownTerm != term || err != nil {
		return
	}
	now := time.Now()
	term.zones.lastPartitionQuery = now
	for i := range records {
		record := &records[i]
		node := term.zones.nodes[record.Node]
		switch {
		case node == nil:
			node = &partitionedNode{version: record.Version, clearedMachines: decodeCleared(record)}
			term.zones.nodes[record.Node] = node
			// A record read for the first time may be old: it counts at once only if its controller had read the log
			// to nearly its end.
			if record.Seq+maxPartitionReportLag > term.commits.committedSeq {
				node.updatedAt = now
			}
		case node.version != record.Version:
			node.version, node.updatedAt, node.clearedMachines = record.Version, now, decodeCleared(record)
		}
	}
}

// reportPartition reports to the leader, by way of the key-value store, that this controller reads the log but does not
// reach it.
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
	go zl.putReport(zl.ctx, record)
}

// putReport writes this controller's record to the store. One that fails is written again after the interval.
func (zl *zoneLiveness) putReport(ctx context.Context, record oplog.PartitionedNode) {
	ctx, cancel := context.WithTimeout(ctx, partitionReportInterval)
	defer cancel()
	if err := zl.oplog.PutPartitionedNode(ctx, record); err != nil {
		zl.log.Debug("partition report failed", "err", err)
	}
}
