package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"fieldhill/wire"
)

const (
	// defaultMaxMachines is the default number of machines available per type, zone and kind (spot or on-demand).
	defaultMaxMachines = 4
	// listingInterval is how often the machine list is updated, and thus the maximum time by which it is out of date.
	listingInterval = 3 * time.Second
	// cloudLatency is the time that the cloud takes to answer a request.
	cloudLatency = 80 * time.Millisecond
	// neverBootsDuration is the boot time of a machine that never comes up; it is longer than any test.
	neverBootsDuration = 24 * time.Hour
)

// Cloud emulates a cloud provider: it provisions machines and starts a Worker on each one when it has booted.
type Cloud struct {
	environment  *Environment
	machineTypes []wire.MachineType
	pageSize     int // number of machines on a page of the machine list
	// maxMachinesOf returns the maximum number of spot or on-demand machines of a type in each zone. If it is nil,
	// maxMachines applies.
	maxMachinesOf func(typ string, spot bool) int

	mu                 sync.Mutex
	Machines           map[string]*Worker // existing machines by name
	machinesByRequest  map[string][]string
	bootedAt           map[string]time.Time
	listing            []wire.ListedMachine // machine list that clients see, at most listingInterval old
	launched           int
	maxMachines        int
	outage             bool
	dropResponseChance float64 // probability that a request is executed and not answered
	bootSlowdown       float64 // factor on boot times; 0 means 1
	neverBootsEvery    int     // every n-th machine never comes up; 0 means none
	// deletionDelay is the delay after which machines are deleted without an answer to the request; 0 means that
	// deletions are executed at once and answered.
	deletionDelay time.Duration
	// delayedScaleOutChance is the probability that a scale-out request is not answered and executed after a random
	// delay of at least minScaleOutDelay and at most maxScaleOutDelay; delayedScaleOuts counts these requests.
	delayedScaleOutChance float64
	maxScaleOutDelay      time.Duration
	delayedScaleOuts      int
}

func newCloud(environment *Environment, deployment Deployment) *Cloud {
	return &Cloud{
		environment:       environment,
		machineTypes:      deployment.Types,
		pageSize:          deployment.PageSize,
		maxMachinesOf:     deployment.MaxMachines,
		maxMachines:       defaultMaxMachines,
		Machines:          map[string]*Worker{},
		machinesByRequest: map[string][]string{},
		bootedAt:          map[string]time.Time{},
	}
}

// SetCapacity sets the maximum number of machines per type, zone and kind. Existing machines are kept.
func (c *Cloud) SetCapacity(maxMachines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxMachines = maxMachines
}

// SetOutage starts or ends an outage, in which the cloud API answers well-formed requests with 503. Deletions that are
// delayed by DelayDeletions are executed nevertheless.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// SetBootFaults sets a factor on boot times, and makes every n-th machine never come up; n of 0 means none.
func (c *Cloud) SetBootFaults(slowdown float64, neverBootsEvery int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootSlowdown, c.neverBootsEvery = slowdown, neverBootsEvery
}

// DropResponses sets the probability that a request is executed and not answered.
func (c *Cloud) DropResponses(probability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropResponseChance = probability
}

// DelayDeletions makes the cloud delete machines only after a delay, and leave requests to delete machines unanswered.
// A delay of 0 makes the cloud delete machines at once and answer.
func (c *Cloud) DelayDeletions(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionDelay = d
}

// minScaleOutDelay is the minimum delay of a scale-out request that is executed late.
const minScaleOutDelay = 2 * time.Second

// DelayScaleOuts sets the probability that a scale-out request is not answered and executed late, even if its sender
// has given up or ended, and the maximum delay.
func (c *Cloud) DelayScaleOuts(probability float64, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedScaleOutChance, c.maxScaleOutDelay = probability, maxDelay
}

// DelayedScaleOuts returns the number of scale-out requests that were executed late.
func (c *Cloud) DelayedScaleOuts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delayedScaleOuts
}

// BootedCPUs returns the total CPUs of the machines that have booted.
func (c *Cloud) BootedCPUs() (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range c.Machines {
		if c.hasBooted(worker.Name) {
			sum += c.machineType(worker.Type).CPUs
		}
	}
	return sum
}

// Launched returns the number of machines ever provisioned.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.launched
}

// Workers returns the workers of the existing machines, sorted by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, worker := range c.Machines {
		workers = append(workers, worker)
	}
	sort.Slice(workers, func(i, k int) bool { return workers[i].Name < workers[k].Name })
	return workers
}

// Reclaim removes a machine without notice, as the cloud does with spot instances.
func (c *Cloud) Reclaim(name string) {
	c.mu.Lock()
	worker := c.Machines[name]
	delete(c.Machines, name)
	c.mu.Unlock()
	if worker != nil {
		worker.terminate()
	}
}

// smallDeploymentTypes are the machine types of SmallDeployment.
var smallDeploymentTypes = []wire.MachineType{
	{
		Name:        "small",
		CPUs:        4,
		MemoryGB:    16,
		CacheGB:     20,
		FetchGBPerS: 1,
		Price:       1,
		SpotPrice:   0.4,
		BootS:       6,
		Zones:       []string{"a", "b"},
	},
	{
		Name:        "large",
		CPUs:        16,
		MemoryGB:    64,
		CacheGB:     40,
		FetchGBPerS: 1,
		Price:       3,
		SpotPrice:   1,
		BootS:       8,
		Zones:       []string{"a", "b"},
	},
}

// machineType returns a machine type by name, or a type without resources if the name is unknown.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return &wire.MachineType{}
}

func (c *Cloud) hasBooted(machine string) bool { return !time.Now().Before(c.bootedAt[machine]) }

// serve starts a server of the cloud API and returns. The server stops when the context ends.
func (c *Cloud) serve(ctx context.Context) error {
	ln, err := c.environment.networkOf("cloud").Listen(c.environment.addresses.Cloud)
	if err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(listingInterval)
			c.updateListing()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathMachineTypes, func(w http.ResponseWriter, _ *http.Request) {
		c.handleRequest(w, func() any { return &wire.MachineTypes{Types: c.machineTypes} })
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		c.handleRequest(w, func() any { return c.listPage(r.URL.Query().Get("after")) })
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		var request wire.ScaleOutRequest
		if readRequest(w, r, &request) {
			c.maybeDelayScaleOut(ctx, &request)
			c.handleRequest(w, func() any { return c.scaleOut(ctx, &request) })
		}
	})
	mux.HandleFunc("POST "+wire.PathRelease, func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		if readRequest(w, r, &names) {
			c.handleRelease(w, names.Machines)
		}
	})
	serve(ctx, ln, mux)
	return nil
}

// readRequest decodes the body of a request. It responds with 400 and returns false if the body is malformed.
func readRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	body, _ := io.ReadAll(r.Body) // a truncated body fails to decode
	if wire.Unmarshal(body, request) != nil {
		respond(w, http.StatusBadRequest, payload{})
		return false
	}
	return true
}

// handleRequest calls buildResponse with c.mu locked, and either responds with its result or drops the response (see
// DropResponses). A nil result means that there is no capacity. During an outage it responds with 503 instead, without
// calling buildResponse.
func (c *Cloud) handleRequest(w http.ResponseWriter, buildResponse func() any) {
	time.Sleep(cloudLatency)
	c.mu.Lock()
	if c.outage {
		c.mu.Unlock()
		respond(w, http.StatusServiceUnavailable, payload{"error": "trouble"})
		return
	}
	response := buildResponse()
	dropResponse := c.environment.random.chance(c.dropResponseChance)
	c.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if response == nil {
		respond(w, http.StatusServiceUnavailable, payload{"error": "no capacity"})
		return
	}
	respond(w, http.StatusOK, response)
}

// updateListing rebuilds the machine list from the existing machines.
func (c *Cloud) updateListing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listing = c.listing[:0:0]
	for _, worker := range c.Machines {
		state := wire.MachineRunning
		if !c.hasBooted(worker.Name) {
			state = wire.MachineBooting
		}
		c.listing = append(c.listing, wire.ListedMachine{
			Name:  worker.Name,
			Addr:  worker.Addr,
			Type:  worker.Type,
			Zone:  worker.Zone,
			Spot:  worker.Spot,
			State: state,
		})
	}
	sort.Slice(c.listing, func(i, k int) bool { return c.listing[i].Name < c.listing[k].Name })
}

// listPage returns the page of the machine list that starts after the given machine name.
func (c *Cloud) listPage(after string) *wire.MachineList {
	page := &wire.MachineList{}
	for _, machine := range c.listing {
		if machine.Name <= after {
			continue
		}
		if len(page.Machines) == c.pageSize {
			page.More = true
			break
		}
		page.Machines = append(page.Machines, machine)
	}
	return page
}

// scaleOut launches as many of the requested machines as capacity allows, and returns their names. A request with the
// idempotency key of an earlier successful request launches nothing and gets the names of that request's machines. The
// result is nil if there is no capacity.
func (c *Cloud) scaleOut(ctx context.Context, request *wire.ScaleOutRequest) any {
	if names, ok := c.machinesByRequest[request.IdempotencyKey]; ok {
		return &wire.MachineNames{Machines: names}
	}
	existing := 0
	for _, worker := range c.Machines {
		if worker.Type == request.Type && worker.Zone == request.Zone && worker.Spot == request.Spot {
			existing++
		}
	}
	maxMachines := c.maxMachines
	if c.maxMachinesOf != nil {
		maxMachines = c.maxMachinesOf(request.Type, request.Spot)
	}
	count := min(request.Count, maxMachines-existing)
	if count <= 0 {
		return nil
	}
	var names []string
	for range count {
		names = append(names, c.launch(ctx, request.Type, request.Zone, request.Spot))
	}
	c.machinesByRequest[request.IdempotencyKey] = names
	c.environment.maybeCopy(CopiedScaleOut, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.scaleOut(ctx, request)
	})
	return &wire.MachineNames{Machines: names}
}

// maybeDelayScaleOut executes a request later and drops its response, with the probability set by DelayScaleOuts.
func (c *Cloud) maybeDelayScaleOut(ctx context.Context, request *wire.ScaleOutRequest) {
	c.mu.Lock()
	delayed := c.environment.random.chanceIfSet(c.delayedScaleOutChance)
	maxDelay := c.maxScaleOutDelay
	c.mu.Unlock()
	if !delayed {
		return
	}
	delay := minScaleOutDelay + c.environment.random.delayUpTo(maxDelay-minScaleOutDelay)
	deliverLater(ctx, delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.delayedScaleOuts++
		c.scaleOut(ctx, request)
	})
	panic(http.ErrAbortHandler)
}

// launch creates a machine, on which a worker starts when it has booted, and returns the machine's name.
func (c *Cloud) launch(ctx context.Context, machineType, zone string, spot bool) string {
	c.launched++
	name := fmt.Sprintf("host-%06d", c.launched)
	ctx, stop := context.WithCancel(ctx)
	worker := &Worker{
		Name:         name,
		Addr:         c.environment.addresses.Worker(c.launched),
		Type:         machineType,
		Zone:         zone,
		Spot:         spot,
		environment:  c.environment,
		rng:          rand.New(rand.NewPCG(uint64(c.launched), 3)),
		stop:         stop,
		cachedImages: map[string]bool{},
	}
	c.Machines[name] = worker
	bootDuration := c.randomBootDuration(worker)
	c.bootedAt[name] = time.Now().Add(bootDuration)
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(bootDuration):
			worker.run(ctx)
		}
	}()
	return name
}

// randomBootDuration returns a random boot time for a worker's machine, which must be the machine launched last.
// Without boot faults, it is 0.6 to 1.5 times the usual boot time of the machine's type.
func (c *Cloud) randomBootDuration(worker *Worker) time.Duration {
	d := time.Duration(c.machineType(worker.Type).BootS * (0.6 + 0.9*worker.rng.Float64()) * float64(time.Second))
	if c.bootSlowdown > 0 {
		d = time.Duration(float64(d) * c.bootSlowdown)
	}
	if c.neverBootsEvery > 0 && c.launched%c.neverBootsEvery == 0 {
		d = neverBootsDuration
	}
	return d
}

// handleRelease deletes machines, either at once or after deletionDelay and without a response.
func (c *Cloud) handleRelease(w http.ResponseWriter, machines []string) {
	c.mu.Lock()
	delay := c.deletionDelay
	c.mu.Unlock()
	if delay > 0 {
		go func() {
			time.Sleep(delay)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.remove(machines)
		}()
		panic(http.ErrAbortHandler)
	}
	c.handleRequest(w, func() any {
		c.remove(machines)
		c.environment.maybeCopy(CopiedRelease, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.remove(machines)
		})
		return payload{}
	})
}

func (c *Cloud) remove(machines []string) {
	for _, name := range machines {
		if worker := c.Machines[name]; worker != nil {
			delete(c.Machines, name)
			worker.terminate()
		}
	}
}
