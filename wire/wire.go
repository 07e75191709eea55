// Package wire holds the messages of the platform's interfaces: what users,
// workers, the cloud and the state service say to a controller and hear from it.
// It knows spellings, limits and what makes a message valid, and nothing of
// what the service does with one; clients can use it by itself. The platform's
// own words for things appear here alone, in struct tags and constants.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Paths of the interfaces.
const (
	PathJobs      = "/api/jobs"
	PathReady     = "/ready"
	PathHeartbeat = "/v1/report"
	PathOrders    = "/orders"
	PathShow      = "/show"
	PathTypes     = "/flavors"
	PathMachines  = "/hosts"
	PathRelease   = "/hosts/release"
	PathKeys      = "/keys"
	PathTxn       = "/multi"
	PathLeases    = "/grants"
	PathWatch     = "/follow"
	CancelSuffix  = "/cancel"
)

// Limits of the protocol.
const (
	MaxBody      = 64 << 10
	MaxTasks     = 100_000
	MaxScaleOut  = 50
	MaxRelease   = 100
	MaxList      = 500
	maxDepth     = 16
	jobIDPrefix  = "req-"
	ContentType  = "application/msgpack"
	maxJobNumber = 999_999_999_999_999
)

// Shapes of jobs.
const (
	Array   = "array"
	Gang    = "group"
	Service = "daemon"
)

// Priorities of jobs, as they are spelled.
const (
	Production = "production"
	High       = "high"
	Normal     = "normal"
	Low        = "idle"
)

// States of a job as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// States of a task on its machine.
const (
	TaskFetching      = "pulling"
	TaskWaiting       = "gathering"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskExited        = "exited"
)

// Causes of an exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"
	CausePeers          = "peers"
	CauseGangIncomplete = "incomplete"
	CauseError          = "error"
	CauseNoCapacity     = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
)

// Verbs of commands to a worker.
const (
	Start  = "run"
	Stop   = "kill"
	Forget = "reap"
)

// States of a rented machine in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// JobSpec is a submission.
type JobSpec struct {
	ID                  string   `msgpack:"name_id"`
	Class               string   `msgpack:"jobclass"`
	Team                string   `msgpack:"owner"`
	Shape               string   `msgpack:"shape"`
	Priority            string   `msgpack:"rank"`
	Tasks               int      `msgpack:"pieces"`
	CPUs                float64  `msgpack:"cores"`
	GPUs                float64  `msgpack:"gpus"`
	MemoryGB            float64  `msgpack:"mem_gb"`
	Image               string   `msgpack:"bundle"`
	ImageGB             float64  `msgpack:"image_gb"`
	Types               []string `msgpack:"models"`
	Zone                *string  `msgpack:"hall"`
	SameZone            bool     `msgpack:"same_place"`
	Spread              bool     `msgpack:"spread"`
	Spot                bool     `msgpack:"loaners"`
	EstimateS           float64  `msgpack:"runtime_s"`
	CheckpointIntervalS float64  `msgpack:"snapshot_s"`
	CheckpointWriteS    float64  `msgpack:"flush_s"`
	DeadlineS           *float64 `msgpack:"due_s"`
}

// JobStatus is what a user hears of a job.
type JobStatus struct {
	ID      string `msgpack:"name_id"`
	State   string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `msgpack:"error"`
}

// Heartbeat is a worker's account of its machine.
type Heartbeat struct {
	Machine      string       `msgpack:"box"`
	Addr         string       `msgpack:"endpoint"`
	Type         string       `msgpack:"model"`
	Zone         string       `msgpack:"hall"`
	Spot         bool         `msgpack:"loaners"`
	AgentEpoch   uint64       `msgpack:"shift"`
	Seq          uint64       `msgpack:"tick"`
	FencingToken uint64       `msgpack:"baton"`
	NoticeS      *float64     `msgpack:"recall_s"`
	Tasks        []TaskStatus `msgpack:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task         string `msgpack:"piece"`
	Attempt      uint64 `msgpack:"try"`
	State        string `msgpack:"status"`
	Cause        string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"stored,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Verb    string   `msgpack:"verb"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"try"`
	GraceS  *float64 `msgpack:"windup_s,omitempty"`
}

// HeartbeatResponse is the answer to a report that was taken.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect tells a worker which node to report to.
type Redirect struct {
	Node string `msgpack:"foreman,omitempty"`
}

// Orders is the body of a direct command.
type Orders struct {
	FencingToken uint64    `msgpack:"baton"`
	AgentEpoch   uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}

// MachineType is one type the cloud rents out.
type MachineType struct {
	Name        string   `msgpack:"label"`
	CPUs        float64  `msgpack:"cores"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"mem_gb"`
	CacheGB     float64  `msgpack:"cache_gb"`
	FetchGBPerS float64  `msgpack:"fetch_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"low_price"`
	BootS       float64  `msgpack:"ready_s"`
	Zones       []string `msgpack:"halls"`
}

// MachineTypes is the cloud's offer.
type MachineTypes struct {
	Types []MachineType `msgpack:"models"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	Request string `msgpack:"hire"`
	Type    string `msgpack:"model"`
	Zone    string `msgpack:"hall"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"number"`
}

// MachineNames lists machines by name: what was rented, or what is to be returned.
type MachineNames struct {
	Machines []string `msgpack:"boxes"`
}

// ListedMachine is one row of the cloud's machine list.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"model"`
	Zone  string  `msgpack:"hall"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// MachineList is a page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"boxes"`
	More     bool            `msgpack:"truncated"`
}

// LogValue is the only kind of value this service keeps in the state service:
// text, with a short header.
type LogValue struct {
	Version int    `msgpack:"v"`
	Term    uint64 `msgpack:"t"`
	Node    string `msgpack:"n,omitempty"`
	Lease   uint64 `msgpack:"l,omitempty"`
	Seq     uint64 `msgpack:"s,omitempty"`
	Count   int    `msgpack:"c,omitempty"`
	Data    string `msgpack:"d,omitempty"`
}

// Item is a key of the state service.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"permit,omitempty"`
}

// Items is a page of keys.
type Items struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"truncated"`
	Revision uint64 `msgpack:"ledger"`
}

// Condition is a condition of a transaction.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Write is one change of a transaction: a put or a delete.
type Write struct {
	Put    string    `msgpack:"put,omitempty"`
	Value  *LogValue `msgpack:"value,omitempty"`
	Lease  uint64    `msgpack:"permit,omitempty"`
	Delete string    `msgpack:"delete,omitempty"`
}

// Txn is an atomic change.
type Txn struct {
	If   []Condition `msgpack:"guards"`
	Then []Write     `msgpack:"writes"`
}

// TxnResponse is its outcome.
type TxnResponse struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease, LeaseResponse names it.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse names a granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"permit"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string             `msgpack:"put,omitempty"`
	Delete  string             `msgpack:"delete,omitempty"`
	Value   msgpack.RawMessage `msgpack:"value,omitempty"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the answer of a watch.
type Events struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return msgpack.Marshal(v) }

// Unmarshal decodes one message: a map, nothing behind it, nested no deeper
// than any real message. The depth is checked first, because skipping unknown
// fields recurses and a hostile body could otherwise grow the stack at will.
func Unmarshal(b []byte, v any) error {
	if err := checkNesting(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

func checkNesting(b []byte) error {
	r := bytes.NewReader(b)
	d := msgpack.NewDecoder(r)
	c, err := d.PeekCode()
	if err != nil {
		return errors.New("empty body")
	}
	if !isMap(c) {
		return errors.New("not a map")
	}
	if err := checkDepth(d, 0); err != nil {
		return err
	}
	if _, err := d.PeekCode(); err == nil {
		return errors.New("bytes behind the message")
	}
	return nil
}

func isMap(c byte) bool {
	return msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32
}

func isArray(c byte) bool {
	return msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32
}

func checkDepth(d *msgpack.Decoder, depth int) error {
	if depth > maxDepth {
		return errors.New("nested too deeply")
	}
	c, err := d.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case isMap(c):
		n, err := d.DecodeMapLen()
		if err != nil {
			return err
		}
		for range n {
			k, err := d.PeekCode()
			if err != nil {
				return err
			}
			if !msgpcode.IsString(k) {
				return errors.New("a key that is not text")
			}
			if err := d.Skip(); err != nil {
				return err
			}
			if err := checkDepth(d, depth+1); err != nil {
				return err
			}
		}
		return nil
	case isArray(c):
		n, err := d.DecodeArrayLen()
		if err != nil {
			return err
		}
		for range n {
			if err := checkDepth(d, depth+1); err != nil {
				return err
			}
		}
		return nil
	case msgpcode.IsExt(c) || msgpcode.IsBin(c):
		return errors.New("binary data")
	}
	return d.Skip()
}

// JobNumber reads a job id: the prefix and six digits, or more without a
// leading zero, so that number and id stand for each other.
func JobNumber(id string) (uint64, bool) {
	s, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || len(s) < 6 || len(s) > 15 || (len(s) > 6 && s[0] == '0') {
		return 0, false
	}
	var n uint64
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + uint64(s[i]-'0')
	}
	return n, n <= maxJobNumber
}

// JobID spells a job's number.
func JobID(n uint64) string { return fmt.Sprintf("%s%06d", jobIDPrefix, n) }

// TaskID spells a task.
func TaskID(job uint64, task int) string {
	return JobID(job) + "/" + strconv.Itoa(task)
}

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (job uint64, task int, ok bool) {
	id, t, found := strings.Cut(s, "/")
	if !found {
		return 0, 0, false
	}
	job, ok = JobNumber(id)
	if !ok {
		return 0, 0, false
	}
	task, err := strconv.Atoi(t)
	if err != nil || task < 0 || task >= MaxTasks {
		return 0, 0, false
	}
	return job, task, true
}

// ParseJob decodes and checks a submission. Every error means that the body is
// malformed; whether the job can ever run is another question.
func ParseJob(b []byte) (*JobSpec, error) {
	if err := checkNesting(b); err != nil {
		return nil, err
	}
	var s JobSpec
	seen := map[string]bool{}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		if err := s.decodeField(d, key); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		seen[key] = true
	}
	for _, k := range requiredFields {
		if !seen[k] {
			return nil, fmt.Errorf("%s: missing", k)
		}
	}
	return &s, s.validate()
}

// PeekJobID finds the job id in a submission, well formed otherwise or not, so
// that a repeat of a known job is recognised before anything else is checked.
func PeekJobID(b []byte) (uint64, error) {
	if err := checkNesting(b); err != nil {
		return 0, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	n, err := d.DecodeMapLen()
	if err != nil {
		return 0, err
	}
	found, ok := uint64(0), false
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return 0, err
		}
		if key != "name_id" {
			if err := d.Skip(); err != nil {
				return 0, err
			}
			continue
		}
		id, err := decodeText(d)
		if err != nil {
			return 0, fmt.Errorf("name_id: %w", err)
		}
		found, ok = JobNumber(id)
	}
	if !ok {
		return 0, errors.New("name_id: missing or not a job id")
	}
	return found, nil
}

// A field that may be null may also be left out.
var requiredFields = []string{"name_id", "jobclass", "owner", "shape", "rank", "pieces", "cores", "gpus", "mem_gb",
	"bundle", "image_gb", "same_place", "spread", "loaners", "runtime_s", "snapshot_s", "flush_s"}

func (s *JobSpec) decodeField(d *msgpack.Decoder, key string) (err error) {
	switch key {
	case "name_id":
		s.ID, err = decodeText(d)
	case "jobclass":
		s.Class, err = decodeText(d)
	case "owner":
		s.Team, err = decodeText(d)
	case "shape":
		s.Shape, err = decodeText(d)
	case "rank":
		s.Priority, err = decodeText(d)
	case "pieces":
		s.Tasks, err = decodeCount(d)
	case "cores":
		s.CPUs, err = decodeAmount(d)
	case "gpus":
		s.GPUs, err = decodeAmount(d)
	case "mem_gb":
		s.MemoryGB, err = decodeAmount(d)
	case "bundle":
		s.Image, err = decodeText(d)
	case "image_gb":
		s.ImageGB, err = decodeAmount(d)
	case "models":
		s.Types, err = decodeTexts(d)
	case "hall":
		if isNil(d) {
			return d.DecodeNil()
		}
		var z string
		z, err = decodeText(d)
		s.Zone = &z
	case "same_place":
		s.SameZone, err = decodeBool(d)
	case "spread":
		s.Spread, err = decodeBool(d)
	case "loaners":
		s.Spot, err = decodeBool(d)
	case "runtime_s":
		s.EstimateS, err = decodeAmount(d)
	case "snapshot_s":
		s.CheckpointIntervalS, err = decodeAmount(d)
	case "flush_s":
		s.CheckpointWriteS, err = decodeAmount(d)
	case "due_s":
		if isNil(d) {
			return d.DecodeNil()
		}
		var f float64
		f, err = decodeAmount(d)
		s.DeadlineS = &f
	default:
		err = d.Skip()
	}
	return err
}

func (s *JobSpec) validate() error {
	if _, ok := JobNumber(s.ID); !ok {
		return errors.New("name_id: not a job id")
	}
	for _, f := range []struct{ name, v string }{{"jobclass", s.Class}, {"owner", s.Team}, {"bundle", s.Image}} {
		if f.v == "" || len(f.v) > 200 {
			return fmt.Errorf("%s: empty or too long", f.name)
		}
	}
	switch s.Shape {
	case Array, Gang, Service:
	default:
		return errors.New("shape: unknown")
	}
	switch s.Priority {
	case Production, High, Normal, Low:
	default:
		return errors.New("rank: unknown")
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.New("pieces: out of range")
	}
	if len(s.Types) > 64 {
		return errors.New("models: too many")
	}
	return nil
}

func isNil(d *msgpack.Decoder) bool {
	c, err := d.PeekCode()
	return err == nil && c == msgpcode.Nil
}

func decodeText(d *msgpack.Decoder) (string, error) {
	c, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if !msgpcode.IsString(c) {
		return "", errors.New("not text")
	}
	return d.DecodeString()
}

func decodeTexts(d *msgpack.Decoder) ([]string, error) {
	c, err := d.PeekCode()
	if err != nil {
		return nil, err
	}
	if c == msgpcode.Nil {
		return nil, d.DecodeNil()
	}
	if !isArray(c) {
		return nil, errors.New("not a list")
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	out := []string{}
	for range n {
		t, err := decodeText(d)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

func decodeBool(d *msgpack.Decoder) (bool, error) {
	c, err := d.PeekCode()
	if err != nil {
		return false, err
	}
	if c != msgpcode.True && c != msgpcode.False {
		return false, errors.New("not a boolean")
	}
	return d.DecodeBool()
}

func isInt(c byte) bool {
	return msgpcode.IsFixedNum(c) || (c >= msgpcode.Uint8 && c <= msgpcode.Int64)
}

// decodeAmount reads a finite number of at least 0.
func decodeAmount(d *msgpack.Decoder) (float64, error) {
	c, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(c) && c != msgpcode.Float && c != msgpcode.Double {
		return 0, errors.New("not a number")
	}
	f, err := d.DecodeFloat64()
	if err != nil {
		return 0, err
	}
	if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return 0, errors.New("not a finite amount")
	}
	return f, nil
}

func decodeCount(d *msgpack.Decoder) (int, error) {
	c, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	if !isInt(c) {
		return 0, errors.New("not an integer")
	}
	if c == msgpcode.Uint64 {
		u, err := d.DecodeUint64()
		if err != nil || u > MaxTasks {
			return 0, errors.New("out of range")
		}
		return int(u), nil
	}
	n, err := d.DecodeInt64()
	if err != nil || n < 0 || n > MaxTasks {
		return 0, errors.New("out of range")
	}
	return int(n), nil
}
