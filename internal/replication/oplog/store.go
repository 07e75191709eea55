package oplog

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Keys of the log and the election. All keys of this package share one prefix, so that a single watch covers them.
const (
	prefix = "f/"
	// KeyLeader names the leader and is attached to the leader's lease. The leader's writes to the log require the key
	// at the version under which the leader was elected.
	KeyLeader = "f/leader"
	// KeyTerm holds the number of the latest term. It remains when the leader key is deleted.
	KeyTerm        = "f/term"
	keyMeta        = "f/meta" // the manifest, which names the current snapshot
	prefixLog      = "f/log/"
	prefixSnapshot = "f/snap/"
)

// FormatVersion is the format version of every value under the prefix, including those of the election.
const FormatVersion = 1

func batchKey(seq uint64) string { return fmt.Sprintf("%s%015d", prefixLog, seq) }

func snapshotPrefix(seq uint64) string { return fmt.Sprintf("%s%015d/", prefixSnapshot, seq) }

func snapshotKey(seq uint64, part int) string {
	return fmt.Sprintf("%s%04d", snapshotPrefix(seq), part)
}

// store reads and writes the keys of the log within the limits of the key-value store.
type store struct {
	client              *kvstore.Client
	writeLimiter        *rate.Limiter // one token per write
	maxDataBytes        int           // maximum size of the data in a value, before base64 encoding
	maxTxnOps           int
	logger              *slog.Logger
	lastUnansweredWrite atomic.Int64 // time of the latest unanswered write in Unix nanoseconds; 0 if none
}

// The data in a value is encoded as base64. envelopeBytes is an upper bound for the encoded size of the value's other
// fields. maxDataBytes is at least minDataBytes, even if the store's limit is lower.
const (
	envelopeBytes = 200
	minDataBytes  = 256
)

func maxDataBytes(valueKB float64) int {
	return max(minDataBytes, (int(valueKB*1024)-envelopeBytes)/4*3)
}

// pageKeys is the number of keys requested per page. The store may return fewer, since it also limits a page's bytes.
const pageKeys = 1000

// rangeAll visits every key with the prefix that sorts after the given key, page by page. It returns the revision of
// the first page, so that following changes from that revision also reports those made during the read.
func (s *store) rangeAll(
	ctx context.Context, prefix, after string, visit func(item *wire.Item) error,
) (revision uint64, err error) {
	for {
		page, err := s.client.Range(ctx, prefix, after, pageKeys)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for i := range page.Items {
			if err := visit(&page.Items[i]); err != nil {
				return 0, err
			}
			after = page.Items[i].Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, nil
		}
	}
}

// get reads the value of a key, the data in it, and the key's version. All are zero if the key does not exist.
func (s *store) get(ctx context.Context, key string) (value *wire.LogValue, data []byte, version uint64, err error) {
	item, err := s.client.Get(ctx, key)
	switch {
	case msgpackhttp.StatusCode(err) == http.StatusNotFound:
		return nil, nil, 0, nil
	case err != nil:
		return nil, nil, 0, err
	}
	value, data, err = decodeValue(key, item.Value)
	return value, data, item.Version, err
}

func encodeData(data []byte) string { return base64.StdEncoding.EncodeToString(data) }

// decodeValue decodes a value and the data in it. The error, if any, is a *CorruptValueError.
func decodeValue(key string, raw msgpack.RawMessage) (*wire.LogValue, []byte, error) {
	var value wire.LogValue
	if err := wire.Unmarshal(raw, &value); err != nil {
		return nil, nil, &CorruptValueError{Key: key, Err: err}
	}
	if value.Version != FormatVersion {
		return nil, nil, &CorruptValueError{Key: key, Err: &FormatVersionError{Version: value.Version}}
	}
	data, err := base64.StdEncoding.DecodeString(value.Data)
	if err != nil {
		return nil, nil, &CorruptValueError{Key: key, Err: err}
	}
	return &value, data, nil
}

func decodeLeader(raw msgpack.RawMessage, keyVersion uint64) (*Leader, error) {
	value, _, err := decodeValue(KeyLeader, raw)
	if err != nil {
		return nil, err
	}
	return &Leader{Node: value.Node, Term: value.Term, Lease: value.Lease, Version: keyVersion}, nil
}

func decodeBatch(item *wire.Item) (Batch, error) {
	seq, err := strconv.ParseUint(strings.TrimPrefix(item.Key, prefixLog), 10, 64)
	if err != nil {
		return Batch{}, &CorruptValueError{Key: item.Key, Err: err}
	}
	value, data, err := decodeValue(item.Key, item.Value)
	if err != nil {
		return Batch{}, &CorruptBatchError{Seq: seq, Err: err}
	}
	return Batch{Seq: seq, Term: value.Term, Data: data, Version: item.Version}, nil
}
