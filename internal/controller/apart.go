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

// apartEvery is how often a node that does not reach the leader says so.
const apartEvery = 5 * time.Second

// apart is what the leader has seen of a node that does not reach it.
type apart struct {
	version uint64
	grew    time.Time                // when its record was last seen to be new
	cleared map[model.MachineID]bool // machines that came to it and held nothing of a cancelled job
}

// cleared is when machines last came to this node, which does not lead, and held nothing of a cancelled job.
type cleared map[model.MachineID]time.Time

// say lists the machines that came lately, of those that by the log hold something of a cancelled job, in so many bytes: the others are of no interest.
func (c cleared) say(m *model.Model, now time.Time, most int) (b []byte) {
	for _, mc := range m.Order {
		if at, ok := c[mc.ID]; ok && now.Sub(at) < 2*apartEvery && mc.HoldsCancelled() && len(b)+5 <= most {
			b = codec.Uint(b, uint64(mc.ID))
		}
	}
	return b
}

// cutNumbers cuts such a list between its numbers into parts of most bytes, one at least.
func cutNumbers(b []byte, most int) (parts [][]byte) {
	const goesOn = 0x80 // in each byte of a number but the last
	for len(b) > most {
		end := most
		for b[end-1]&goesOn != 0 {
			end--
		}
		parts, b = append(parts, b[:end]), b[end:]
	}
	return append(parts, b)
}

// readCleared reads such a list, from all parts of a record; what a malformed one says does not count.
func readCleared(a *oplog.Apart) map[model.MachineID]bool {
	out := map[model.MachineID]bool{}
	for _, part := range append([][]byte{a.Data}, a.More...) {
		for r := (&codec.Reader{B: part}); len(r.B) > 0; {
			if id := model.MachineID(r.Uint()); r.Err == nil {
				out[id] = true
			}
		}
	}
	return out
}

// isClear tells whether a node that does not reach this one has just heard from a machine, and nothing of a cancelled job was left there.
func (r *role) isClear(id model.MachineID) bool {
	for _, a := range r.apart {
		if a.cleared[id] && time.Since(a.grew) < 2*apartEvery {
			return true
		}
	}
	return false
}

// goesOn tells whether work in a zone may go on without this node: a controller
// there is reached, or reads the log and so keeps the zone's workers. Then the
// zone is not cut off from everything, but only parted from the leader. As long
// as that is not known, it may be so.
func (n *Node) goesOn(r *role, zone string) bool {
	if zone == n.set.Zone || r.lastAsked.IsZero() || time.Since(r.lastAsked) > 2*apartEvery {
		return true
	}
	for _, m := range n.set.Members {
		if m.Zone != zone {
			continue
		}
		if time.Since(n.links[m.Node].Heard()) < 2*linkFresh {
			return true
		}
		if a := r.apart[m.Node]; a != nil && time.Since(a.grew) < 2*apartEvery {
			return true
		}
	}
	return false
}

// askApart reads which nodes don't reach the leader.
func (n *Node) askApart(r *role) {
	r.asking = true
	go func() {
		list, err := n.oplog.Apart(r.ctx)
		n.post(func() {
			r.asking = false
			if n.role != r || err != nil {
				return
			}
			r.lastAsked = time.Now()
			for _, a := range list {
				old := r.apart[a.Node]
				switch {
				case old == nil:
					r.apart[a.Node] = &apart{version: a.Version, cleared: readCleared(&a)}
					// A record seen for the first time may be old: only one that
					// knows the log to nearly its end counts at once.
					if a.Seq+apartLag > r.committed {
						r.apart[a.Node].grew = time.Now()
					}
				case old.version != a.Version:
					old.version, old.grew, old.cleared = a.Version, time.Now(), readCleared(&a)
				}
			}
		})
	}()
}

// apartLag is how many batches the record of a node may lag behind the log.
const apartLag = 100

// sayApart tells the leader, by way of the state service, that this node reads the
// log but does not reach it.
func (n *Node) sayApart() {
	now := time.Now()
	if n.role != nil || !n.loaded || n.leader == nil || now.Sub(n.apartSaid) < apartEvery || now.Sub(n.caught) > 2*followFor {
		return
	}
	if l := n.links[n.leader.Node]; l == nil || now.Sub(l.Heard()) < linkFresh {
		return
	}
	n.apartSaid = now
	most := n.oplog.MaxData()
	room := (most - binary.MaxVarintLen32) * n.oplog.ApartParts() // a part may end a number early
	parts := cutNumbers(n.cleared.say(n.m, now, room), most)
	said := oplog.Apart{Node: n.set.Node, Seq: n.applied, Data: parts[0], More: parts[1:]}
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, apartEvery)
		defer cancel()
		if err := n.oplog.PutApart(ctx, said); err != nil {
			n.log.Debug("can't tell that the leader is not reached", "err", err)
		}
	}()
}
