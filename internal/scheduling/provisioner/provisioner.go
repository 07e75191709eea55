// Package provisioner carries out at the cloud what was decided elsewhere: it provisions and releases machines, and
// lists machines and types. A Provisioner knows nothing of why, nor who else may do so; it acts while it holds the
// role, and reports the results.
//
// A scale-out is repeated under its name until its result is known, by whoever holds the role then: a name that was
// answered provisions nothing twice. A release is repeated until the cloud has answered.
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

// ScaleOut is a request for machines. Its name is never used for another one.
type ScaleOut struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
}

// ResultKind is what a result is of.
type ResultKind uint8

// The kinds. Their numbers are part of the format between controllers.
const (
	ScaledOut        ResultKind = iota + 1 // ScaleOut and Machines: fewer than were asked for, perhaps none
	Released                               // Machines: they and everything on them are gone
	MachinesListed                         // Listing: rows of the machine list
	TypesListed                            // MachineTypes
	CloudUnavailable                       // the cloud did not list its machines
)

// Result is what came of a request.
type Result struct {
	Kind     ResultKind
	ScaleOut ScaleOut
	Machines []string
	// Elapsed is, of a scale-out and of a list, how long it took; that of a list is for this process only.
	Elapsed      time.Duration
	Listing      []wire.ListedMachine
	MachineTypes []wire.MachineType
}

// Desired is what is to be done at present.
type Desired struct {
	ScaleOuts    []ScaleOut // in this order
	Releases     []string   // machines that the log has as released
	TypesUnknown bool       // the cloud's machine types are not known yet
}

const (
	// typesInterval is between two lists of the machine types, typesRetryInterval while they are not known.
	typesInterval      = 60 * time.Second
	typesRetryInterval = time.Second
	// renotifyAfter is after how long a result that is still wanted is reported again.
	renotifyAfter = time.Second
	// releaseRetryAfter is how long after an answer a machine that is still to be released is released again.
	releaseRetryAfter = 2 * time.Second
	// The pauses after a request whose outcome is unknown double from the first to the last of these.
	minBackoff, maxBackoff = 500 * time.Millisecond, 4 * time.Second
)

// noCapacity is what the cloud says when it has none left of what was asked for.
const noCapacity = "no capacity"

// Provisioner deals with the cloud. Reconcile, and all that post runs, must be called by one goroutine, which owns the
// state; the goroutines that wait for the cloud hand their results over by post, and end with the context.
type Provisioner struct {
	ctx          context.Context // of the leadership term or of the role: what goroutines that outlive a call end with
	cloud        *cloud.Client
	trusted      func() bool
	post         func(func())
	onResult     func(Result)
	logger       *slog.Logger
	maxInFlight  int           // scale-outs under way at once
	listInterval time.Duration // between two lists

	scaleOuts              map[string]*scaleOutState // by name
	inFlight               int
	releasedAt             map[string]time.Time // when the cloud answered for them
	releasing, listing     bool
	fetchingTypes          bool
	lastListing, lastTypes time.Time
}

// scaleOutState is a scale-out that is under way, or has a result that may have to be reported again.
type scaleOutState struct {
	result     *Result // nil: under way
	notifiedAt time.Time
}

// New makes a provisioner that works until the context ends. trusted tells whether it may act; post runs something in
// the goroutine of Reconcile; onResult is called there.
func New(
	ctx context.Context,
	client *cloud.Client,
	maxInFlight int,
	listInterval time.Duration,
	trusted func() bool,
	post func(func()),
	onResult func(Result),
	logger *slog.Logger,
) *Provisioner {
	return &Provisioner{
		ctx:          ctx,
		cloud:        client,
		trusted:      trusted,
		post:         post,
		onResult:     onResult,
		logger:       logger,
		maxInFlight:  maxInFlight,
		listInterval: listInterval,
		scaleOuts:    map[string]*scaleOutState{},
		releasedAt:   map[string]time.Time{},
	}
}

// ErrNotHolder says that nothing was asked, since this controller is not sure to hold the role.
var ErrNotHolder = errors.New("provisioner: role not held for certain")

// ifTrusted asks for something if this controller holds the role now. Between a decision and its request any time may
// have passed, and no fencing token goes with a request to the cloud. One that is sent late all the same does no harm:
// what it provisions has a name that the log knows, or is adopted by whoever leads then; what it deletes had no work
// since the log said so.
func (p *Provisioner) ifTrusted(request func() error) error {
	if !p.trusted() {
		return ErrNotHolder
	}
	return request()
}

// Reconcile begins what is desired and not under way, and reports again what has a result and is still desired.
func (p *Provisioner) Reconcile(now time.Time, desired Desired) {
	if now.Sub(p.lastTypes) > typesInterval || desired.TypesUnknown && now.Sub(p.lastTypes) > typesRetryInterval {
		p.lastTypes = now
		p.fetchTypes()
	}
	if !p.listing && now.Sub(p.lastListing) > p.listInterval {
		p.listing, p.lastListing = true, now
		p.fetchListing()
	}
	p.reconcileScaleOuts(now, desired.ScaleOuts)
	p.startRelease(now, desired.Releases)
}

func (p *Provisioner) reconcileScaleOuts(now time.Time, orders []ScaleOut) {
	wanted := map[string]bool{}
	for _, order := range orders {
		wanted[order.Name] = true
		switch state := p.scaleOuts[order.Name]; {
		case state == nil && p.inFlight < p.maxInFlight:
			state = &scaleOutState{}
			p.scaleOuts[order.Name] = state
			p.inFlight++
			go p.runScaleOut(order, state)
		case state != nil && state.result != nil && now.Sub(state.notifiedAt) > renotifyAfter:
			state.notifiedAt = now
			p.onResult(*state.result)
		}
	}
	for name, state := range p.scaleOuts {
		if !wanted[name] && state.result != nil {
			delete(p.scaleOuts, name)
		}
	}
}

// runScaleOut repeats a request until the cloud has filled or refused it.
func (p *Provisioner) runScaleOut(order ScaleOut, state *scaleOutState) {
	request := &wire.ScaleOutRequest{
		Request: order.Name,
		Type:    order.Type,
		Zone:    order.Zone,
		Spot:    order.Spot,
		Count:   order.Count,
	}
	backoff := minBackoff
	for {
		sentAt := time.Now()
		var names []string
		err := p.ifTrusted(func() (err error) {
			names, err = p.cloud.Provision(p.ctx, request)
			return err
		})
		if p.ctx.Err() != nil {
			return
		}
		if err == nil || isRefused(err) {
			p.post(func() {
				p.inFlight--
				state.result = &Result{
					Kind:     ScaledOut,
					ScaleOut: order,
					Machines: names,
					Elapsed:  time.Since(sentAt),
				}
				state.notifiedAt = time.Now()
				p.onResult(*state.result)
			})
			return
		}
		p.logger.Debug("scale-out outcome unknown", "request", request.Request, "err", err)
		if !p.sleep(backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRefused tells whether the cloud answered that it provisions nothing for a request.
func isRefused(err error) bool {
	switch msgpackhttp.StatusCode(err) {
	case http.StatusBadRequest:
		return true
	case http.StatusServiceUnavailable:
		return isNoCapacity(err)
	}
	return false
}

// sleep waits, and tells whether the context still holds.
func (p *Provisioner) sleep(duration time.Duration) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func isNoCapacity(err error) bool {
	var problem wire.Problem
	var statusErr *msgpackhttp.StatusError
	return errors.As(err, &statusErr) && wire.Unmarshal(statusErr.Body, &problem) == nil && problem.Error == noCapacity
}

// startRelease releases machines, as many at a time as the protocol allows. The answer is the evidence that they and
// everything on them are gone.
func (p *Provisioner) startRelease(now time.Time, machines []string) {
	for name, at := range p.releasedAt {
		if now.Sub(at) > releaseRetryAfter {
			delete(p.releasedAt, name)
		}
	}
	if p.releasing {
		return
	}
	var names []string
	for _, name := range machines {
		if _, acknowledged := p.releasedAt[name]; !acknowledged && len(names) < wire.MaxRelease {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	p.releasing = true
	go func() {
		err := p.ifTrusted(func() error { return p.cloud.Release(p.ctx, names) })
		if err != nil && p.ctx.Err() == nil {
			p.logger.Debug("machine release outcome unknown", "err", err)
			p.sleep(minBackoff)
		}
		p.post(func() {
			p.releasing = false
			if err != nil {
				return
			}
			for _, name := range names {
				p.releasedAt[name] = time.Now()
			}
			p.onResult(Result{Kind: Released, Machines: names})
		})
	}()
}

// fetchTypes asks for the machine types, once at a time.
func (p *Provisioner) fetchTypes() {
	if p.fetchingTypes {
		return
	}
	p.fetchingTypes = true
	go func() {
		types, err := p.cloud.MachineTypes(p.ctx)
		p.post(func() {
			p.fetchingTypes = false
			if err != nil {
				p.logger.Warn("machine type listing failed", "err", err)
				return
			}
			p.onResult(Result{Kind: TypesListed, MachineTypes: types})
		})
	}()
}

// fetchListing asks for the machine list.
func (p *Provisioner) fetchListing() {
	asked := time.Now()
	go func() {
		rows, err := p.cloud.ListMachines(p.ctx)
		p.post(func() {
			p.listing = false
			if err != nil {
				p.logger.Debug("machine listing failed", "err", err)
				p.onResult(Result{Kind: CloudUnavailable})
				return
			}
			p.onResult(Result{Kind: MachinesListed, Listing: rows, Elapsed: time.Since(asked)})
		})
	}()
}
