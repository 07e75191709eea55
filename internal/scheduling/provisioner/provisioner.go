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

// ScaleOut is a rental. Its name is never used for another one.
type ScaleOut struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
}

// ResultKind is what an outcome is of.
type ResultKind uint8

// The kinds. Their numbers are part of the format between controllers.
const (
	ScaledOut        ResultKind = iota + 1 // Order and Names: fewer than were asked for, perhaps none
	Released                               // Names: they and everything on them are gone
	MachinesListed                         // Rows of the machine list
	TypesListed                            // Offers
	CloudUnavailable                       // the cloud did not list its machines
)

// Result is what came of a request.
type Result struct {
	Kind         ResultKind
	ScaleOut     ScaleOut
	Machines     []string
	Elapsed      time.Duration // Hired, Listed: since it was first asked; that of a list is for this process only
	Listing      []wire.ListedMachine
	MachineTypes []wire.MachineType
}

// Desired is what is to be done at present.
type Desired struct {
	ScaleOuts    []ScaleOut // in this order
	Releases     []string   // machines that the log has as returned
	TypesUnknown bool       // the cloud's offer is not known yet
}

// Times of a desk.
const (
	typesInterval      = 60 * time.Second
	typesRetryInterval = time.Second
	renotifyAfter      = time.Second // what was told and is still wanted is told again
	// and so long after an answer a machine that is still to be returned is returned again
	releaseRetryAfter = 2 * time.Second
)

// Provisioner deals with the cloud. Turn, and all that post runs, must be called by one goroutine.
type Provisioner struct {
	ctx          context.Context
	cloud        *cloud.Client
	trusted      func() bool
	post         func(func())
	onResult     func(Result)
	logger       *slog.Logger
	maxInFlight  int           // rentals under way at once
	listInterval time.Duration // between two lists

	scaleOuts              map[string]*scaleOutState
	inFlight               int
	releasedAt             map[string]time.Time // when the cloud answered for them
	releasing, listing     bool
	fetchingTypes          bool
	lastListing, lastTypes time.Time
}

type scaleOutState struct {
	result     *Result
	notifiedAt time.Time
}

// New makes a desk that works until the context ends. trusted tells whether it may act; post runs something in the
// goroutine of Turn; tell is called there.
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

// ErrNotHolder says that nothing was asked, since this node is not sure to have the duty.
var ErrNotHolder = errors.New("rent: the duty is not sure at the moment")

// ifTrusted asks for something if this node has the duty now. Between a decision and its request any time may have
// passed, and no token fences a request to the cloud. One that is sent late all the same does no harm: what it rents
// has a name that the log knows, or is adopted by whoever leads then; what it deletes had no work since the log said
// so.
func (p *Provisioner) ifTrusted(request func() error) error {
	if !p.trusted() {
		return ErrNotHolder
	}
	return request()
}

// Reconcile begins what is wanted and not under way.
func (p *Provisioner) Reconcile(now time.Time, desired Desired) {
	if now.Sub(p.lastTypes) > typesInterval || desired.TypesUnknown && now.Sub(p.lastTypes) > typesRetryInterval {
		p.lastTypes = now
		p.fetchTypes()
	}
	if !p.listing && now.Sub(p.lastListing) > p.listInterval {
		p.listing, p.lastListing = true, now
		p.fetchListing()
	}
	wanted := map[string]bool{}
	for _, order := range desired.ScaleOuts {
		wanted[order.Name] = true
		switch state := p.scaleOuts[order.Name]; {
		case state == nil && p.inFlight < p.maxInFlight:
			state = &scaleOutState{}
			p.scaleOuts[order.Name] = state
			p.inFlight++
			p.startScaleOut(order, state)
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
	p.startRelease(now, desired.Releases)
}

func (p *Provisioner) startScaleOut(order ScaleOut, state *scaleOutState) {
	request := &wire.ScaleOutRequest{
		Request: order.Name,
		Type:    order.Type,
		Zone:    order.Zone,
		Spot:    order.Spot,
		Count:   order.Count,
	}
	go func() {
		backoff := 500 * time.Millisecond
		for {
			sentAt := time.Now()
			var names []string
			err := p.ifTrusted(func() (err error) {
				names, err = p.cloud.Provision(p.ctx, request)
				return err
			})
			code := msgpackhttp.StatusCode(err)
			if p.ctx.Err() != nil {
				return
			}
			if refused := code == http.StatusBadRequest ||
				code == http.StatusServiceUnavailable && isNoCapacity(err); err == nil ||
				refused {
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
			backoff = min(2*backoff, 4*time.Second)
		}
	}()
}

// sleep waits, unless the desk is over.
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
	statusErr, ok := err.(*msgpackhttp.StatusError)
	return ok && wire.Unmarshal(statusErr.Body, &problem) == nil && problem.Error == "no capacity"
}

// startRelease returns machines, a hundred at a time. The answer is the evidence that they and everything on them are
// gone.
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
			p.sleep(500 * time.Millisecond)
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
