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
	// prefixPartitionedParts holds what does not fit into a node's record under prefixPartitioned, as NODE/0001 and so
	// on.
	prefixPartitionedParts = prefix + "apartmore/"
)

func partitionedPartKey(node string, part int) string {
	return fmt.Sprintf("%s%s/%04d", prefixPartitionedParts, node, part)
}

// PartitionedNode is the record of a node that reads the log but can't reach the leader.
type PartitionedNode struct {
	Node    string
	Seq     uint64 // last batch that it had read
	Version uint64 // version of the record, which grows with each write
	Data    []byte // payload, at most MaxBatchBytes bytes
	// Parts is the payload beyond Data, at most MaxPartitionedNodeParts-1 parts. Data and each part can be decoded on
	// their own: a reader may find parts that are newer than Data, and older versions read Data alone.
	Parts [][]byte
}

// partitionRecords reads and writes the records by which nodes that reach only the store report to the leader.
type partitionRecords struct{ store *store }

// maxTxnBytes stays below the key-value store's limit of 64 KiB per transaction. valueOverhead is an upper bound for
// what a value takes besides its data.
const (
	maxTxnBytes   = 60 << 10
	valueOverhead = 256
)

// MaxPartitionedNodeParts is the maximum number of values of MaxBatchBytes bytes, Data included, in a record, which is
// written in one transaction.
func (p partitionRecords) MaxPartitionedNodeParts() int {
	partBytes := base64.StdEncoding.EncodedLen(p.store.maxDataBytes) + valueOverhead
	return max(1, min(p.store.maxTxnOps, maxTxnBytes/partBytes))
}

// PutPartitionedNode records for the leader that this node can't reach it. Further parts of an earlier, longer record
// remain and are ignored.
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
		node.Parts = nil // too large: a record without parts is better than none
		return p.PutPartitionedNode(ctx, node)
	}
	if err != nil {
		return fmt.Errorf("oplog: write %s: %w", key, err)
	}
	return nil
}

// PartitionedNodes lists the records of all nodes that have ever reported that they can't reach the leader.
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

// readRecords reads the records, each with as many empty parts as it declares.
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

// readParts fills in the parts, if any record has some.
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
