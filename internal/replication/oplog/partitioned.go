package oplog

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"

	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

const (
	prefixPartitioned = prefix + "apart/"
	// prefixPartitionedParts has what does not fit into a node's record under prefixPartitioned: NODE/0001 and on.
	prefixPartitionedParts = prefix + "apartmore/"
)

func partitionedPartKey(node string, part int) string {
	return fmt.Sprintf("%s%s/%04d", prefixPartitionedParts, node, part)
}

// PartitionedNode is a node that reads the log but does not reach the leader.
type PartitionedNode struct {
	Node    string
	Seq     uint64 // how far it had read the log
	Version uint64 // of the record: it grows with each
	Data    []byte // what else it says, at most MaxData bytes
	// Parts is what it says beyond that, MaxPartitionedNodeParts-1 parts at most. Each, and Data, is complete in
	// itself: a reader may find parts that are newer than Data, and an older version reads Data alone.
	Parts [][]byte
}

// partitionRecords are the records of partitioned nodes: the way to the leader of nodes that only reach the store.
type partitionRecords struct{ store *store }

// maxTxnBytes is less than what the key-value store takes as one transaction, which is 64 KiB, and valueOverhead more
// than a value takes besides its data.
const (
	maxTxnBytes   = 60 << 10
	valueOverhead = 256
)

// MaxPartitionedNodeParts is into how many parts of MaxData bytes a record may be divided: they are written in one
// transaction.
func (p partitionRecords) MaxPartitionedNodeParts() int {
	partBytes := base64.StdEncoding.EncodedLen(p.store.maxData) + valueOverhead
	return max(1, min(p.store.maxTxnOps, maxTxnBytes/partBytes))
}

// PutPartitionedNode writes for the leader that this node does not reach it. Further parts of an earlier, longer
// record stay and count for nothing.
func (p partitionRecords) PutPartitionedNode(ctx context.Context, node PartitionedNode) error {
	key := prefixPartitioned + node.Node
	txn := &wire.Txn{Then: []wire.Write{{Put: key, Value: &wire.LogValue{Version: FormatVersion, Node: node.Node,
		Seq: node.Seq, Count: len(node.Parts), Data: encodeData(node.Data)}}}}
	for i, part := range node.Parts {
		txn.Then = append(txn.Then, wire.Write{Put: partitionedPartKey(node.Node, i+1), Value: &wire.LogValue{
			Version: FormatVersion, Node: node.Node, Data: encodeData(part)}})
	}
	_, err := p.store.client.Txn(ctx, txn)
	if msgpackhttp.StatusCode(err) == http.StatusBadRequest && len(node.Parts) > 0 {
		node.Parts = nil // that it is written at all matters more
		return p.PutPartitionedNode(ctx, node)
	}
	if err != nil {
		return fmt.Errorf("oplog: write %s: %w", key, err)
	}
	return nil
}

// PartitionedNodes lists the nodes that at some time did not reach the leader.
func (p partitionRecords) PartitionedNodes(ctx context.Context) ([]PartitionedNode, error) {
	nodes, err := p.readRecords(ctx)
	if err != nil {
		return nil, fmt.Errorf("oplog: list %s: %w", prefixPartitioned, err)
	}
	if err := p.readParts(ctx, nodes); err != nil {
		return nil, fmt.Errorf("oplog: list %s: %w", prefixPartitionedParts, err)
	}
	return nodes, nil
}

// readRecords reads the records, with as many empty parts as each has.
func (p partitionRecords) readRecords(ctx context.Context) (nodes []PartitionedNode, err error) {
	_, err = p.store.rangeAll(ctx, prefixPartitioned, "", func(item *wire.Item) error {
		value, data, err := decodeValue(item.Key, item.Value)
		if err != nil {
			return err
		}
		node := PartitionedNode{Node: value.Node, Seq: value.Seq, Version: item.Version, Data: data}
		if value.Count > 0 && value.Count <= pageKeys {
			node.Parts = make([][]byte, value.Count)
		}
		nodes = append(nodes, node)
		return nil
	})
	return nodes, err
}

// readParts fills in the parts, if any node has some.
func (p partitionRecords) readParts(ctx context.Context, nodes []PartitionedNode) error {
	hasParts := func(node PartitionedNode) bool { return len(node.Parts) > 0 }
	if !slices.ContainsFunc(nodes, hasParts) {
		return nil
	}
	byKey := map[string][]byte{}
	_, err := p.store.rangeAll(ctx, prefixPartitionedParts, "", func(item *wire.Item) error {
		_, data, err := decodeValue(item.Key, item.Value)
		byKey[item.Key] = data
		return err
	})
	if err != nil {
		return err
	}
	for _, node := range nodes {
		for i := range node.Parts {
			node.Parts[i] = byKey[partitionedPartKey(node.Node, i+1)]
		}
	}
	return nil
}
