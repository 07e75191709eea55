// Package provisioner sends provisioning requests to the cloud: it provisions and releases machines, and lists machines
// and machine types. A Provisioner knows neither the reasons for the requests nor the other controllers that may hold
// the provisioner role. It acts while its own controller holds the role, and reports the results.
//
// The current holder of the role repeats a scale-out under the same name until the result is known; the cloud does not
// provision machines again for a name that it has already answered. A release is repeated until the cloud has answered.
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

// ScaleOut is a request for machines. Its name is unique and never reused.
type ScaleOut struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
}

// ResultKind identifies what a Result reports.
type ResultKind uint8

// Result kinds. Their numbers are part of the encoding that controllers exchange.
const (
	ScaledOut        ResultKind = iota + 1 // has ScaleOut and Machines; there may be fewer than requested, or none
	Released                               // has Machines: they and everything on them are gone
	MachinesListed                         // has Listing: part or all of the machine list
	TypesListed                            // has MachineTypes
	CloudUnavailable                       // the cloud did not list its machines
	MachinesUnlisted                       // has Machines: they are in the log, and the cloud no longer lists them
)

// Result reports the outcome of requests to the cloud. Its kind determines which fields are set.
type Result struct {
	Kind     ResultKind
	ScaleOut ScaleOut
	Machines []string
	// Elapsed is the duration of the last request of a scale-out, or of a machine listing; the duration of a listing is
	// not sent to other controllers.
	Elapsed      time.Duration
	Listing      []wire.ListedMachine
	MachineTypes []wire.MachineType
}

// Desired is the desired state that Reconcile works towards.
type Desired struct {
	ScaleOuts    []ScaleOut // started in this order
	Releases     []string   // machines that the log records as released
	TypesUnknown bool       // the cloud's machine types are not known yet
}

const (
	// typesInterval is the interval between listings of the machine types; typesRetryInterval replaces it while the
	// types are unknown.
	typesInterval      = 60 * time.Second
	typesRetryInterval = time.Second
	// reportInterval is the interval at which the result of a scale-out is reported again while the scale-out is still
	// desired.
	reportInterval = time.Second
	// releaseRetryInterval is the time after a successful release at which a machine is released again if its release
	// is still desired.
	releaseRetryInterval = 2 * time.Second
	// minBackoff and maxBackoff limit the delay before a request with unknown outcome is repeated; the delay doubles
	// with each attempt.
	minBackoff, maxBackoff = 500 * time.Millisecond, 4 * time.Second
)

// noCapacity is the error text by which the cloud reports that it has no machines of the requested offer.
const noCapacity = "no capacity"

// Provisioner sends requests to the cloud. Reconcile and all functions passed to post run in one goroutine, which owns
// the state. The goroutines that wait for the cloud deliver their results through post, and end with the context.
type Provisioner struct {
	ctx          context.Context // of the leadership term or the role; cancels goroutines that outlive a method call
	cloud        *cloud.Client
	roleHeld     func() bool
	post         func(func())
	onResult     func(Result)
	logger       *slog.Logger
	maxInFlight  int           // limit of concurrent scale-outs
	listInterval time.Duration // between machine listings

	scaleOuts              map[string]*scaleOutState // by name
	inFlight               int
	releasedAt             map[string]time.Time // when the cloud acknowledged the release, by machine name
	releasing, listing     bool
	fetchingTypes          bool
	lastListing, lastTypes time.Time
}

// scaleOutState is a scale-out that is in flight, or whose result may have to be reported again.
type scaleOutState struct {
	result     *Result // nil: in flight
	reportedAt time.Time
}

// New returns a provisioner that works until the context ends. roleHeld reports whether the provisioner may send
// requests; post runs a function in the goroutine that calls Reconcile, in which onResult is called as well.
func New(
	ctx context.Context,
	client *cloud.Client,
	maxInFlight int,
	listInterval time.Duration,
	roleHeld func() bool,
	post func(func()),
	onResult func(Result),
	logger *slog.Logger,
) *Provisioner {
	return &Provisioner{
		ctx:          ctx,
		cloud:        client,
		roleHeld:     roleHeld,
		post:         post,
		onResult:     onResult,
		logger:       logger,
		maxInFlight:  maxInFlight,
		listInterval: listInterval,
		scaleOuts:    map[string]*scaleOutState{},
		releasedAt:   map[string]time.Time{},
	}
}

// ErrRoleNotHeld means that no request was sent because this controller may no longer hold the role.
var ErrRoleNotHeld = errors.New("provisioner: request not sent: role may no longer be held")

// ifRoleHeld sends a request if this controller holds the role at this moment. Any amount of time may have passed since
// the decision, and requests to the cloud carry no fencing token, so a request can take effect after another controller
// has taken over the role. Such a late request is harmless: the machines that it provisions carry a request name
// recorded in the log, or are adopted by the current leader, and the machines that it deletes have had no work since
// the log recorded their release.
func (p *Provisioner) ifRoleHeld(request func() error) error {
	if !p.roleHeld() {
		return ErrRoleNotHeld
	}
	return request()
}

// Reconcile starts the desired scale-outs and releases that are not in flight, and reports again the results of
// completed scale-outs that are still desired. It also lists the machine types and the machines when a listing is due.
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

func (p *Provisioner) reconcileScaleOuts(now time.Time, scaleOuts []ScaleOut) {
	wanted := map[string]bool{}
	for _, scaleOut := range scaleOuts {
		wanted[scaleOut.Name] = true
		switch state := p.scaleOuts[scaleOut.Name]; {
		case state == nil && p.inFlight < p.maxInFlight:
			state = &scaleOutState{}
			p.scaleOuts[scaleOut.Name] = state
			p.inFlight++
			go p.runScaleOut(scaleOut, state)
		case state != nil && state.result != nil && now.Sub(state.reportedAt) > reportInterval:
			state.reportedAt = now
			p.onResult(*state.result)
		}
	}
	for name, state := range p.scaleOuts {
		if !wanted[name] && state.result != nil {
			delete(p.scaleOuts, name)
		}
	}
}

// runScaleOut sends a scale-out request and repeats it until the cloud has granted or refused it.
func (p *Provisioner) runScaleOut(scaleOut ScaleOut, state *scaleOutState) {
	request := &wire.ScaleOutRequest{
		IdempotencyKey: scaleOut.Name,
		Type:           scaleOut.Type,
		Zone:           scaleOut.Zone,
		Spot:           scaleOut.Spot,
		Count:          scaleOut.Count,
	}
	backoff := minBackoff
	for {
		sentAt := time.Now()
		var names []string
		err := p.ifRoleHeld(func() (err error) {
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
					ScaleOut: scaleOut,
					Machines: names,
					Elapsed:  time.Since(sentAt),
				}
				state.reportedAt = time.Now()
				p.onResult(*state.result)
			})
			return
		}
		p.logger.Debug("scale-out outcome unknown", "request", request.IdempotencyKey, "err", err)
		if !p.sleep(backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRefused reports whether an error means that the cloud has refused a request and provisions nothing for it.
func isRefused(err error) bool {
	switch msgpackhttp.StatusCode(err) {
	case http.StatusBadRequest:
		return true
	case http.StatusServiceUnavailable:
		return isNoCapacity(err)
	}
	return false
}

// sleep waits for a duration and returns false if the context ends first.
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

// startRelease releases machines, at most wire.MaxRelease per request, unless a release is in flight. The cloud's
// answer proves that the machines and everything on them are gone.
func (p *Provisioner) startRelease(now time.Time, machines []string) {
	for name, at := range p.releasedAt {
		if now.Sub(at) > releaseRetryInterval {
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
		err := p.ifRoleHeld(func() error { return p.cloud.Release(p.ctx, names) })
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

// fetchTypes requests the machine types from the cloud unless such a request is in flight.
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

// fetchListing requests the list of machines from the cloud and reports either the list or that the cloud is
// unavailable.
func (p *Provisioner) fetchListing() {
	startedAt := time.Now()
	go func() {
		machines, err := p.cloud.ListMachines(p.ctx)
		p.post(func() {
			p.listing = false
			if err != nil {
				p.logger.Debug("machine listing failed", "err", err)
				p.onResult(Result{Kind: CloudUnavailable})
				return
			}
			p.onResult(Result{Kind: MachinesListed, Listing: machines, Elapsed: time.Since(startedAt)})
		})
	}()
}
