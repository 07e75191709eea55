package controller

import (
	"context"
	"encoding/binary"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
)

// zoneLiveness determines whether work in a partitioned zone continues under a controller in that zone. A controller
// that reads the log but cannot reach the leader reports this through the key-value store, and the leader evaluates the
// reports.
//
// It owns the time of this controller's last report and, for a term, the reports read from the other controllers. Both
// are written on the event loop only; goroutines access the store and post the results to the loop.
type zoneLiveness struct {
	*environment
	keepalives *followerKeepalives
	loop       *eventLoop
	replica    *replica
	term       *termState

	lastPartitionReport time.Time // when this controller last reported that it cannot reach the leader
}

// zoneLivenessTerm is the state of zoneLiveness for one leadership term.
type zoneLivenessTerm struct {
	nodes                  map[string]*partitionedNode // by name: controllers that cannot reach this one
	partitionQueryInFlight bool                        // a read of the partition reports is in flight
	lastPartitionQuery     time.Time                   // when the partition reports were last read
}

const (
	// partitionReportInterval is the interval between the reports of a controller that cannot reach the leader.
	partitionReportInterval = 5 * time.Second
	// partitionReportTTL is how long a partition report counts after the leader found it to have changed.
	partitionReportTTL = 2 * partitionReportInterval
	// maxPartitionReportLag is how many log batches the sender of a report may be behind the leader for the report to
	// count immediately when it is read for the first time.
	maxPartitionReportLag = 100
)

// partitionedNode is what the leader knows about a controller that cannot reach the leader.
type partitionedNode struct {
	version         uint64                   // version of the controller's record in the key-value store
	updatedAt       time.Time                // when the record was last found to have changed
	clearedMachines map[model.MachineID]bool // machines found to hold no task of a cancelled job
}

// isFresh reports whether the controller's record changed within partitionReportTTL.
func (n *partitionedNode) isFresh() bool { return time.Since(n.updatedAt) < partitionReportTTL }

// splitVarints splits a list of varints, at number boundaries, into parts of at most maxBytes bytes. It returns at
// least one part.
func splitVarints(b []byte, maxBytes int) (parts [][]byte) {
	const continuation = 0x80 // set in each byte of a varint except the last
	for len(b) > maxBytes {
		end := maxBytes
		for b[end-1]&continuation != 0 {
			end--
		}
		parts, b = append(parts, b[:end]), b[end:]
	}
	return append(parts, b)
}

// decodeCleared decodes the machine IDs written by clearedMachines.encode from all parts of a record. It ignores
// malformed data.
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

// isCleared reports whether a controller that cannot reach this one found no task of a cancelled job on a machine,
// according to a partition report that is fresh.
func (zt *zoneLivenessTerm) isCleared(id model.MachineID) bool {
	for _, node := range zt.nodes {
		if node.clearedMachines[id] && node.isFresh() {
			return true
		}
	}
	return false
}

// mayBeAlive reports whether work in a zone may continue without this controller, because a controller in the zone is
// reachable, or reads the log and therefore renews the leases of the zone's agents. In the latter case the zone is
// partitioned from the leader only, not from the log. The result is also true for this controller's own zone, and if
// the partition reports, which controllers that cannot reach the leader write to the key-value store, were not read
// within partitionReportTTL.
func (zl *zoneLiveness) mayBeAlive(term *leaderTerm, zone string) bool {
	if zone == zl.settings.Zone || term.zones.lastPartitionQuery.IsZero() ||
		time.Since(term.zones.lastPartitionQuery) > partitionReportTTL {
		return true
	}
	for _, m := range zl.settings.Members {
		if m.Zone != zone {
			continue
		}
		if time.Since(zl.links[m.Node].LastResponse()) < 2*linkTimeout {
			return true
		}
		if node := term.zones.nodes[m.Node]; node != nil && node.isFresh() {
			return true
		}
	}
	return false
}

// queryIfDue reads the partition reports from the key-value store, unless a read is in flight or was completed within
// half of partitionReportInterval.
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

// onPartitionedNodes processes the result of a read of the partition reports. After an error, the results of earlier
// reads remain in effect.
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
			// A record read for the first time may be old: it counts immediately only if its controller had almost
			// caught up with the log when it wrote the record.
			if record.Seq+maxPartitionReportLag > term.commits.committedSeq {
				node.updatedAt = now
			}
		case node.version != record.Version:
			node.version, node.updatedAt, node.clearedMachines = record.Version, now, decodeCleared(record)
		}
	}
}

// reportPartition reports to the leader, through the key-value store, that this controller reads the log but cannot
// reach the leader.
func (zl *zoneLiveness) reportPartition() {
	now := time.Now()
	if zl.term.ownTerm != nil || !zl.replica.loaded || zl.term.leader == nil ||
		now.Sub(zl.lastPartitionReport) < partitionReportInterval ||
		now.Sub(zl.replica.caughtUpAt) > 2*followTimeout {
		return
	}
	if link := zl.links[zl.term.leader.Node]; link == nil || now.Sub(link.LastResponse()) < linkTimeout {
		return
	}
	zl.lastPartitionReport = now
	maxBatchBytes := zl.oplog.MaxBatchBytes()
	// Parts are split between varints, so a part may stay up to the length of a varint below maxBatchBytes.
	room := (maxBatchBytes - binary.MaxVarintLen32) * zl.oplog.MaxPartitionedNodeParts()
	parts := splitVarints(zl.keepalives.clearedMachines.encode(zl.replica.model, now, room), maxBatchBytes)
	record := oplog.PartitionedNode{
		Node:  zl.settings.Node,
		Seq:   zl.replica.appliedSeq,
		Data:  parts[0],
		Parts: parts[1:],
	}
	go zl.putReport(zl.ctx, record)
}

// putReport writes this controller's record to the key-value store. After a failed write, the next report is due after
// partitionReportInterval.
func (zl *zoneLiveness) putReport(ctx context.Context, record oplog.PartitionedNode) {
	ctx, cancel := context.WithTimeout(ctx, partitionReportInterval)
	defer cancel()
	if err := zl.oplog.PutPartitionedNode(ctx, record); err != nil {
		zl.log.Debug("partition report failed", "err", err)
	}
}
