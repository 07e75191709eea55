package relay

import (
	"errors"
	"math"
	"slices"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// ErrMalformed says that a message of another controller can't be read.
var ErrMalformed = errors.New("relay: malformed message")

// words are the texts of reports and orders that have a number of their own. Their order is part of the format: new
// ones go to the end. Number 0 says that the text itself follows.
var words = []string{
	wire.TaskFetching, wire.TaskWaiting, wire.TaskRunning, wire.TaskSaving, wire.TaskExited,
	wire.CauseDone, wire.CauseStopped, wire.CausePeers, wire.CauseAlone, wire.CauseError,
	wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown,
	wire.Start, wire.Stop, wire.Forget, "",
}

const (
	// mostTasks and mostCommands bound what is read; a report of 64 KiB holds fewer.
	mostTasks    = 4096
	mostCommands = 4096
)

func appendWord(b []byte, s string) []byte {
	i := slices.Index(words, s)
	b = codec.Uint(b, uint64(i+1))
	if i < 0 {
		b = codec.String(b, s)
	}
	return b
}

func readWord(r *codec.Reader) string {
	if i := r.Max(uint64(len(words))); i > 0 {
		return words[i-1]
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

// AppendReport encodes a worker's report.
func AppendReport(b []byte, rep *wire.Report) []byte {
	for _, s := range []string{rep.Machine, rep.Addr, rep.Type, rep.Zone} {
		b = codec.String(b, s)
	}
	b = codec.Bool(b, rep.Spot)
	for _, v := range []uint64{rep.Session, rep.Seq, rep.Token} {
		b = codec.Uint(b, v)
	}
	b = appendSeconds(b, rep.NoticeS)
	b = codec.Uint(b, uint64(len(rep.Tasks)))
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		b = codec.Uint(codec.String(b, t.Task), t.Attempt)
		b = appendWord(appendWord(b, t.State), t.Cause)
		b = codec.Bool(b, t.Saved)
	}
	return b
}

// ReadReport decodes a worker's report.
func ReadReport(b []byte) (*wire.Report, error) {
	r := &codec.Reader{B: b}
	rep := readReport(r)
	if !r.Done() {
		return nil, ErrMalformed
	}
	return rep, nil
}

func readReport(r *codec.Reader) *wire.Report {
	rep := &wire.Report{}
	for _, s := range []*string{&rep.Machine, &rep.Addr, &rep.Type, &rep.Zone} {
		*s = r.String()
	}
	rep.Spot = r.Bool()
	for _, v := range []*uint64{&rep.Session, &rep.Seq, &rep.Token} {
		*v = r.Uint()
	}
	rep.NoticeS = readSeconds(r)
	n := r.Max(mostTasks)
	rep.Tasks = make([]wire.TaskStatus, 0, min(n, len(r.B)))
	for range n {
		if r.Err != nil {
			break
		}
		rep.Tasks = append(rep.Tasks, wire.TaskStatus{Task: r.String(), Attempt: r.Uint(), State: readWord(r), Cause: readWord(r), Saved: r.Bool()})
	}
	return rep
}

// AppendOrders encodes a direct command.
func AppendOrders(b []byte, o *wire.Orders) []byte {
	b = codec.Uint(codec.Uint(b, o.Token), o.Session)
	b = codec.Uint(b, uint64(len(o.Commands)))
	for i := range o.Commands {
		c := &o.Commands[i]
		b = appendWord(b, c.Verb)
		b = codec.Uint(codec.String(b, c.Task), c.Attempt)
		b = appendSeconds(b, c.GraceS)
	}
	return b
}

// ReadOrders decodes a direct command.
func ReadOrders(b []byte) (*wire.Orders, error) {
	r := &codec.Reader{B: b}
	o := &wire.Orders{Token: r.Uint(), Session: r.Uint()}
	n := r.Max(mostCommands)
	o.Commands = make([]wire.Command, 0, min(n, len(r.B)))
	for range n {
		if r.Err != nil {
			break
		}
		o.Commands = append(o.Commands, wire.Command{Verb: readWord(r), Task: r.String(), Attempt: r.Uint(), GraceS: readSeconds(r)})
	}
	if !r.Done() {
		return nil, ErrMalformed
	}
	return o, nil
}

// Outcome is what became of a direct command that another controller sent: its fate, as the client of the workers'
// interface numbers it, and the worker's report if it answered with one.
type Outcome struct {
	Fate   uint8
	Report *wire.Report
}

// Append encodes an outcome.
func (o Outcome) Append(b []byte) []byte {
	b = codec.Uint(b, uint64(o.Fate))
	b = codec.Bool(b, o.Report != nil)
	if o.Report != nil {
		b = AppendReport(b, o.Report)
	}
	return b
}

// ReadOutcome decodes an outcome.
func ReadOutcome(b []byte) (Outcome, error) {
	r := &codec.Reader{B: b}
	o := Outcome{Fate: uint8(r.Max(math.MaxUint8))}
	if r.Bool() {
		o.Report = readReport(r)
	}
	if !r.Done() {
		return Outcome{}, ErrMalformed
	}
	return o, nil
}

// Offer is what a node that does not lead tells the leader: that it takes workers' reports for it.
type Offer struct {
	Node string
	Open bool // it has room for more connections
}

// Append encodes an offer.
func (o Offer) Append(b []byte) []byte { return codec.Bool(codec.String(b, o.Node), o.Open) }

// ReadOffer decodes an offer.
func ReadOffer(b []byte) (Offer, error) {
	r := &codec.Reader{B: b}
	o := Offer{Node: r.String(), Open: r.Bool()}
	if !r.Done() {
		return Offer{}, ErrMalformed
	}
	return o, nil
}

// AppendTerms encodes the answer to an offer: whether reports are to be passed on.
func AppendTerms(b []byte, on bool) []byte { return codec.Bool(b, on) }

// ReadTerms decodes the answer to an offer.
func ReadTerms(b []byte) (on bool, err error) {
	r := &codec.Reader{B: b}
	on = r.Bool()
	if !r.Done() {
		return false, ErrMalformed
	}
	return on, nil
}
