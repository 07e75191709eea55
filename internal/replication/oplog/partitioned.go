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
	// prefixPartitioned holds the record of each PartitionedNode under the node's name.
	prefixPartitioned = prefix + "apart/"
	// prefixPartitionedParts holds the parts of the payload that do not fit into a node's record under
	// prefixPartitioned, as NODE/0001 and so on.
	prefixPartitionedParts = prefix + "apartmore/"
)

func partitionedPartKey(node string, part int) string {
	return fmt.Sprintf("%s%s/%04d", prefixPartitionedParts, node, part)
}

// PartitionedNode is the record in the store by which a node that reads the log, but can't reach the leader, reports to
// the leader.
type PartitionedNode struct {
	Node    string
	Seq     uint64 // last batch that the node had read
	Version uint64 // version of the record, which grows with each write
	Data    []byte // payload, at most MaxBatchBytes bytes
	// Parts is the payload beyond Data, at most MaxPartitionedNodeParts-1 parts. Data and each part can be decoded on
	// their own: a reader may find parts that are newer than Data, and a leader that runs an older version reads Data
	// alone.
	Parts [][]byte
}

// partitionRecords reads and writes the records of partitioned nodes.
type partitionRecords struct{ store *store }

// maxTxnBytes stays below the key-value store's limit of 64 KiB per transaction. valueOverhead is an upper bound for
// the encoded size of a value without its data.
const (
	maxTxnBytes   = 60 << 10
	valueOverhead = 256
)

// MaxPartitionedNodeParts returns the maximum number of values of MaxBatchBytes bytes in a record, Data included. The
// number is limited because a record is written in one transaction.
func (p partitionRecords) MaxPartitionedNodeParts() int {
	partBytes := base64.StdEncoding.EncodedLen(p.store.maxDataBytes) + valueOverhead
	return max(1, min(p.store.maxTxnOps, maxTxnBytes/partBytes))
}

// PutPartitionedNode writes the record by which this node reports that it can't reach the leader. Parts of an earlier,
// longer record remain in the store, and readers ignore them.
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
		node.Parts = nil // the transaction is too large: a record without parts is better than none
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

// readRecords reads the records of all nodes without their parts: Parts has the declared length, and its elements are
// nil.
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

// readParts reads the parts that the records of the nodes declare and stores them in Parts. It sends no request if no
// record declares parts.
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
