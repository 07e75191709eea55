// Package rent carries out at the cloud what was decided elsewhere: rentals, returns, the list and the types. A
// Desk knows nothing of why, nor who else may do so; it acts while it is trusted, and tells what came of it.
//
// A rental is repeated under its name until its fate is known, by whoever has the duty then: a name that was
// answered rents nothing twice. A return is repeated until the cloud has answered.
package provisioner

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"fieldhill/internal/platform/cloud"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Order is a rental. Its name is never used for another one.
type Order struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
}

// Kind is what an outcome is of.
type Kind uint8

// The kinds. Their numbers are part of the format between controllers.
const (
	Hired    Kind = iota + 1 // Order and Names: fewer than were asked for, perhaps none
	Returned                 // Names: they and everything on them are gone
	Listed                   // Rows of the machine list
	Types                    // Offers
	Away                     // the cloud did not list its machines
)

// Outcome is what came of a request.
type Outcome struct {
	Kind   Kind
	Order  Order
	Names  []string
	Ago    time.Duration // Hired, Listed: since it was first asked; that of a list is for this process only
	Rows   []wire.ListedMachine
	Offers []wire.MachineType
}

// Want is what is to be done at present.
type Want struct {
	Hires   []Order  // in this order
	Returns []string // machines that the log has as returned
	NoTypes bool     // the cloud's offer is not known yet
}

// Times of a desk.
const (
	typesEvery  = 60 * time.Second
	typesSoon   = time.Second
	againAfter  = time.Second     // what was told and is still wanted is told again
	returnAgain = 2 * time.Second // and so long after an answer a machine that is still to be returned is returned again
)

// Desk deals with the cloud. Turn, and all that post runs, must be called by one goroutine.
type Desk struct {
	ctx     context.Context
	cloud   *cloud.Client
	trusted func() bool
	post    func(func())
	tell    func(Outcome)
	log     *slog.Logger
	most    int           // rentals under way at once
	every   time.Duration // between two lists

	hires              map[string]*hire
	under              int
	returned           map[string]time.Time // when the cloud answered for them
	returning, listing bool
	asking             bool
	lastList, lastType time.Time
}

type hire struct {
	final *Outcome
	told  time.Time
}

// New makes a desk that works until the context ends. trusted tells whether it may act; post runs something in the
// goroutine of Turn; tell is called there.
func New(ctx context.Context, c *cloud.Client, most int, listEvery time.Duration, trusted func() bool, post func(func()), tell func(Outcome), log *slog.Logger) *Desk {
	return &Desk{ctx: ctx, cloud: c, trusted: trusted, post: post, tell: tell, log: log, most: most, every: listEvery,
		hires: map[string]*hire{}, returned: map[string]time.Time{}}
}

// ErrDistrusted says that nothing was asked, since this node is not sure to have the duty.
var ErrDistrusted = errors.New("rent: the duty is not sure at the moment")

// whileTrusted asks for something if this node has the duty now. Between a decision and its request any time may have
// passed, and no token fences a request to the cloud. One that is sent late all the same does no harm: what it rents
// has a name that the log knows, or is adopted by whoever leads then; what it deletes had no work since the log said so.
func (d *Desk) whileTrusted(ask func() error) error {
	if !d.trusted() {
		return ErrDistrusted
	}
	return ask()
}

// Turn begins what is wanted and not under way.
func (d *Desk) Turn(now time.Time, w Want) {
	if now.Sub(d.lastType) > typesEvery || w.NoTypes && now.Sub(d.lastType) > typesSoon {
		d.lastType = now
		d.types()
	}
	if !d.listing && now.Sub(d.lastList) > d.every {
		d.listing, d.lastList = true, now
		d.list()
	}
	wanted := map[string]bool{}
	for _, o := range w.Hires {
		wanted[o.Name] = true
		switch h := d.hires[o.Name]; {
		case h == nil && d.under < d.most:
			h = &hire{}
			d.hires[o.Name] = h
			d.under++
			d.hire(o, h)
		case h != nil && h.final != nil && now.Sub(h.told) > againAfter:
			h.told = now
			d.tell(*h.final)
		}
	}
	for name, h := range d.hires {
		if !wanted[name] && h.final != nil {
			delete(d.hires, name)
		}
	}
	d.give(now, w.Returns)
}

func (d *Desk) hire(o Order, h *hire) {
	req := &wire.Hire{Request: o.Name, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: o.Count}
	go func() {
		pause := 500 * time.Millisecond
		for {
			asked := time.Now()
			var names []string
			err := d.whileTrusted(func() (err error) {
				names, err = d.cloud.Hire(d.ctx, req)
				return err
			})
			code := msgpackhttp.Code(err)
			if d.ctx.Err() != nil {
				return
			}
			if refused := code == http.StatusBadRequest || code == http.StatusServiceUnavailable && noCapacity(err); err == nil || refused {
				d.post(func() {
					d.under--
					h.final = &Outcome{Kind: Hired, Order: o, Names: names, Ago: time.Since(asked)}
					h.told = time.Now()
					d.tell(*h.final)
				})
				return
			}
			d.log.Debug("renting without a result", "request", req.Request, "err", err)
			if !d.wait(pause) {
				return
			}
			pause = min(2*pause, 4*time.Second)
		}
	}()
}

// wait waits, unless the desk is over.
func (d *Desk) wait(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

func noCapacity(err error) bool {
	var p wire.Problem
	se, ok := err.(*msgpackhttp.StatusError)
	return ok && wire.Unmarshal(se.Body, &p) == nil && p.Error == "no capacity"
}

// give returns machines, a hundred at a time. The answer is the evidence that they and everything on them are gone.
func (d *Desk) give(now time.Time, all []string) {
	for name, at := range d.returned {
		if now.Sub(at) > returnAgain {
			delete(d.returned, name)
		}
	}
	if d.returning {
		return
	}
	var names []string
	for _, name := range all {
		if _, told := d.returned[name]; !told && len(names) < wire.MaxRelease {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	d.returning = true
	go func() {
		err := d.whileTrusted(func() error { return d.cloud.Release(d.ctx, names) })
		if err != nil && d.ctx.Err() == nil {
			d.log.Debug("returning without a result", "err", err)
			d.wait(500 * time.Millisecond)
		}
		d.post(func() {
			d.returning = false
			if err != nil {
				return
			}
			for _, name := range names {
				d.returned[name] = time.Now()
			}
			d.tell(Outcome{Kind: Returned, Names: names})
		})
	}()
}

func (d *Desk) types() {
	if d.asking {
		return
	}
	d.asking = true
	go func() {
		types, err := d.cloud.Types(d.ctx)
		d.post(func() {
			d.asking = false
			if err != nil {
				d.log.Warn("cloud does not tell its machine types", "err", err)
				return
			}
			d.tell(Outcome{Kind: Types, Offers: types})
		})
	}()
}

func (d *Desk) list() {
	asked := time.Now()
	go func() {
		rows, err := d.cloud.List(d.ctx)
		d.post(func() {
			d.listing = false
			if err != nil {
				d.log.Debug("cloud does not list machines", "err", err)
				d.tell(Outcome{Kind: Away})
				return
			}
			d.tell(Outcome{Kind: Listed, Rows: rows, Ago: time.Since(asked)})
		})
	}()
}
