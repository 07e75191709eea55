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
	// defaultMaxMachines is how many machines of each type, zone and kind there are, unless a test says otherwise.
	defaultMaxMachines = 4
	// listLag is how often the list of machines is brought up to date.
	listLag = 3 * time.Second
	// cloudLatency is how long the cloud takes for a request.
	cloudLatency = 80 * time.Millisecond
	// neverBoots is the boot time of a machine that never comes up: longer than any test.
	neverBoots = 24 * time.Hour
)

// Cloud emulates the cloud: it provisions machines and starts a Worker on each when it has booted.
type Cloud struct {
	environment   *Environment
	machineTypes  []wire.MachineType
	pageSize      int                             // machines on a page of the list
	maxMachinesOf func(typ string, spot bool) int // machines of each type, zone and kind; nil: maxMachines

	mu                 sync.Mutex
	Machines           map[string]*Worker // those that exist
	machinesByRequest  map[string][]string
	bootedAt           map[string]time.Time
	listing            []wire.ListedMachine // as it was at most listLag ago
	launched           int
	maxMachines        int
	outage             bool
	dropResponseChance float64 // that a request is carried out and not answered
	bootSlowdown       float64 // boots take so many times as long; 0: as usual
	neverBootsEvery    int     // one in so many never comes up; 0: none
	// deletionDelay is by how much deletions are carried out late, after their sender's timeout.
	deletionDelay time.Duration
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

// SetCapacity sets how many machines of each type, zone and kind the cloud has; those that exist stay.
func (c *Cloud) SetCapacity(maxMachines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxMachines = maxMachines
}

// SetOutage has the cloud's interface refuse everything.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// SetBootFaults sets how many times as long boots take, and that one in so many never ends.
func (c *Cloud) SetBootFaults(slowdown float64, neverBootsEvery int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootSlowdown, c.neverBootsEvery = slowdown, neverBootsEvery
}

// DropResponses sets the probability that a request is carried out and not answered.
func (c *Cloud) DropResponses(probability float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropResponseChance = probability
}

// DelayDeletions has deletions carried out late, and not answered.
func (c *Cloud) DelayDeletions(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deletionDelay = d
}

// CPUs counts the CPUs of the machines that have booted.
func (c *Cloud) CPUs() (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range c.Machines {
		if c.hasBooted(worker.Name) {
			sum += c.machineType(worker.Type).CPUs
		}
	}
	return sum
}

// Launched counts all machines that were ever provisioned.
func (c *Cloud) Launched() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.launched
}

// Workers lists the workers of machines that exist, by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, worker := range c.Machines {
		out = append(out, worker)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// Reclaim takes a machine away without notice, as the cloud does with spot instances.
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

// machineType finds a type by name; an unknown one has no resources.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.machineTypes {
		if c.machineTypes[i].Name == name {
			return &c.machineTypes[i]
		}
	}
	return &wire.MachineType{}
}

func (c *Cloud) hasBooted(machine string) bool { return !time.Now().Before(c.bootedAt[machine]) }

// serve answers on the cloud's address until the context ends.
func (c *Cloud) serve(ctx context.Context) error {
	ln, err := c.environment.networkOf("cloud").Listen(c.environment.addresses.Cloud)
	if err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(listLag)
			c.updateListing()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathTypes, func(w http.ResponseWriter, _ *http.Request) {
		c.answer(w, func() any { return &wire.MachineTypes{Types: c.machineTypes} })
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		c.answer(w, func() any { return c.listPage(r.URL.Query().Get("after")) })
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		var request wire.ScaleOutRequest
		if readRequest(w, r, &request) {
			c.answer(w, func() any { return c.scaleOut(ctx, &request) })
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

// readRequest decodes a request's body, and answers itself if it is malformed.
func readRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	body, _ := io.ReadAll(r.Body) // a body cut short is malformed
	if wire.Unmarshal(body, request) != nil {
		respond(w, http.StatusBadRequest, payload{})
		return false
	}
	return true
}

// answer carries a request out under the lock, unless there is an outage, and answers with what do returns; nil stands
// for no capacity.
func (c *Cloud) answer(w http.ResponseWriter, do func() any) {
	time.Sleep(cloudLatency)
	c.mu.Lock()
	if c.outage {
		c.mu.Unlock()
		respond(w, http.StatusServiceUnavailable, payload{"error": "trouble"})
		return
	}
	response := do()
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

// updateListing brings the list of machines up to date, which lags behind what exists.
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

// listPage is the page of the list that begins after a machine.
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

// scaleOut launches as many of the machines that a request asks for as there is capacity, and answers a repeated
// request with the same machines. It returns nil without capacity.
func (c *Cloud) scaleOut(ctx context.Context, request *wire.ScaleOutRequest) any {
	if names, ok := c.machinesByRequest[request.Request]; ok {
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
	c.machinesByRequest[request.Request] = names
	return &wire.MachineNames{Machines: names}
}

// launch makes a machine, on which a worker starts when it has booted, and returns its name.
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
	bootDuration := c.drawBootDuration(worker)
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

// drawBootDuration is how long the machine that was launched last boots: from 0.6 to 1.5 times its type's usual time.
func (c *Cloud) drawBootDuration(worker *Worker) time.Duration {
	d := time.Duration(c.machineType(worker.Type).BootS * (0.6 + 0.9*worker.rng.Float64()) * float64(time.Second))
	if c.bootSlowdown > 0 {
		d = time.Duration(float64(d) * c.bootSlowdown)
	}
	if c.neverBootsEvery > 0 && c.launched%c.neverBootsEvery == 0 {
		d = neverBoots
	}
	return d
}

// handleRelease takes machines away, at once or, with delayed deletions, after the sender's timeout.
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
	c.answer(w, func() any {
		c.remove(machines)
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
