package relay

import (
	"errors"
	"math"
	"slices"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// ErrMalformed is returned for a message from another controller that cannot be decoded.
var ErrMalformed = errors.New("relay: malformed message")

// knownTexts are the texts of heartbeats and commands that are encoded as a number: their index plus one. The order is
// part of the format, so append new texts at the end. The number 0 means that the text itself follows.
var knownTexts = []string{
	wire.TaskFetching, wire.TaskWaiting, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited,
	wire.CauseDone, wire.CauseStopped, wire.CausePeers, wire.CauseGangIncomplete, wire.CauseError,
	wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown,
	wire.VerbStart, wire.VerbStop, wire.VerbForget, "",
}

const (
	// maxTasks and maxCommands bound the lengths of decoded lists. A heartbeat or a command message of 64 KiB holds
	// fewer items.
	maxTasks    = 4096
	maxCommands = 4096
)

// appendText encodes a text as its number in knownTexts, or in full if it has none.
func appendText(b []byte, s string) []byte {
	i := slices.Index(knownTexts, s)
	b = codec.Uint(b, uint64(i+1))
	if i < 0 {
		b = codec.String(b, s)
	}
	return b
}

func readText(r *codec.Reader) string {
	if i := r.Max(uint64(len(knownTexts))); i > 0 {
		return knownTexts[i-1]
	}
	return r.String()
}

func appendSeconds(b []byte, s *float64) []byte {
	b = codec.Bool(b, s != nil)
	if s != nil {
		b = codec.Float(b, *s)
	}
	return b
}

func readSeconds(r *codec.Reader) *float64 {
	if !r.Bool() {
		return nil
	}
	s := r.Float()
	return &s
}

// AppendHeartbeat appends the encoding of an agent's heartbeat to b.
func AppendHeartbeat(b []byte, report *wire.Heartbeat) []byte {
	for _, s := range []string{report.Machine, report.Addr, report.Type, report.Zone} {
		b = codec.String(b, s)
	}
	b = codec.Bool(b, report.Spot)
	for _, v := range []uint64{report.AgentEpoch, report.Seq, report.FencingToken} {
		b = codec.Uint(b, v)
	}
	b = appendSeconds(b, report.ReclaimNoticeS)
	b = codec.Uint(b, uint64(len(report.Tasks)))
	for i := range report.Tasks {
		task := &report.Tasks[i]
		b = codec.Uint(codec.String(b, task.Task), task.Attempt)
		b = appendText(appendText(b, task.State), task.Cause)
		b = codec.Bool(b, task.Checkpointed)
	}
	return b
}

// ReadHeartbeat decodes an agent's heartbeat. The error, if any, is ErrMalformed.
func ReadHeartbeat(b []byte) (*wire.Heartbeat, error) {
	r := &codec.Reader{Data: b}
	report := readReport(r)
	if !r.Done() {
		return nil, ErrMalformed
	}
	return report, nil
}

func readReport(r *codec.Reader) *wire.Heartbeat {
	report := &wire.Heartbeat{}
	for _, s := range []*string{&report.Machine, &report.Addr, &report.Type, &report.Zone} {
		*s = r.String()
	}
	report.Spot = r.Bool()
	for _, v := range []*uint64{&report.AgentEpoch, &report.Seq, &report.FencingToken} {
		*v = r.Uint()
	}
	report.ReclaimNoticeS = readSeconds(r)
	n := r.Max(maxTasks)
	report.Tasks = make([]wire.TaskStatus, 0, min(n, len(r.Data)))
	for range n {
		if r.Err != nil {
			break
		}
		report.Tasks = append(report.Tasks, wire.TaskStatus{
			Task:         r.String(),
			Attempt:      r.Uint(),
			State:        readText(r),
			Cause:        readText(r),
			Checkpointed: r.Bool(),
		})
	}
	return report
}

// AppendCommands appends the encoding of a batch of direct commands for an agent to b.
func AppendCommands(b []byte, batch *wire.CommandBatch) []byte {
	b = codec.Uint(codec.Uint(b, batch.FencingToken), batch.AgentEpoch)
	b = codec.Uint(b, uint64(len(batch.Commands)))
	for i := range batch.Commands {
		command := &batch.Commands[i]
		b = appendText(b, command.Verb)
		b = codec.Uint(codec.String(b, command.Task), command.Attempt)
		b = appendSeconds(b, command.GraceS)
	}
	return b
}

// ReadCommands decodes a batch of direct commands for an agent. The error, if any, is ErrMalformed.
func ReadCommands(b []byte) (*wire.CommandBatch, error) {
	r := &codec.Reader{Data: b}
	batch := &wire.CommandBatch{FencingToken: r.Uint(), AgentEpoch: r.Uint()}
	n := r.Max(maxCommands)
	batch.Commands = make([]wire.Command, 0, min(n, len(r.Data)))
	for range n {
		if r.Err != nil {
			break
		}
		batch.Commands = append(batch.Commands, wire.Command{
			Verb:    readText(r),
			Task:    r.String(),
			Attempt: r.Uint(),
			GraceS:  readSeconds(r),
		})
	}
	if !r.Done() {
		return nil, ErrMalformed
	}
	return batch, nil
}

// CommandResult is the outcome of commands that another controller sent to an agent.
type CommandResult struct {
	Outcome uint8           // an agent.CommandOutcome
	Report  *wire.Heartbeat // the agent's heartbeat; nil if its response had none
}

// Append appends the encoding of a result to b.
func (r CommandResult) Append(b []byte) []byte {
	b = codec.Uint(b, uint64(r.Outcome))
	b = codec.Bool(b, r.Report != nil)
	if r.Report != nil {
		b = AppendHeartbeat(b, r.Report)
	}
	return b
}

// ReadCommandResult decodes a CommandResult. The error, if any, is ErrMalformed.
func ReadCommandResult(b []byte) (CommandResult, error) {
	r := &codec.Reader{Data: b}
	result := CommandResult{Outcome: uint8(r.Max(math.MaxUint8))}
	if r.Bool() {
		result.Report = readReport(r)
	}
	if !r.Done() {
		return CommandResult{}, ErrMalformed
	}
	return result, nil
}

// Offer is the message with which a follower offers the leader to relay agents' heartbeats.
type Offer struct {
	Node        string // name of the controller
	HasCapacity bool   // more connections can be accepted
}

// Append appends the encoding of an offer to b.
func (o Offer) Append(b []byte) []byte { return codec.Bool(codec.String(b, o.Node), o.HasCapacity) }

// ReadOffer decodes an Offer. The error, if any, is ErrMalformed.
func ReadOffer(b []byte) (Offer, error) {
	r := &codec.Reader{Data: b}
	offer := Offer{Node: r.String(), HasCapacity: r.Bool()}
	if !r.Done() {
		return Offer{}, ErrMalformed
	}
	return offer, nil
}

// AppendOfferResponse appends the encoding of the leader's response to an offer to b: whether the follower is to relay
// heartbeats.
func AppendOfferResponse(b []byte, accepted bool) []byte { return codec.Bool(b, accepted) }

// ReadOfferResponse decodes the leader's response to an Offer. The error, if any, is ErrMalformed.
func ReadOfferResponse(b []byte) (accepted bool, err error) {
	r := &codec.Reader{Data: b}
	accepted = r.Bool()
	if !r.Done() {
		return false, ErrMalformed
	}
	return accepted, nil
}
