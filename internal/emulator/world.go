package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Controller runs a node until its context ends; tests pass the real one.
type Controller func(ctx context.Context, h host.Net, s *config.Settings) error

// World is a deployment.
type World struct {
	Net     *Network
	State   *State
	Cloud   *Cloud
	Referee *Referee
	Params  config.Params

	ctx                     context.Context
	start                   Controller
	via                     func(name string) host.Net
	at                      Places
	nodes                   []*node
	lease, report, gangWait time.Duration
	fetch                   time.Duration
	rng                     *rand.Rand
	mu                      sync.Mutex
	gangs                   map[string]map[string]bool // job and attempt: members that gathered
	lateOrders              float64                    // chance that a direct command is executed only after its sender gave up
	lateBy                  time.Duration
	copies                  float64 // chance that a report comes again
	copiesBy                time.Duration
	keep                    float64        // chance that a copy of a report is kept for the next leader
	kept                    []*wire.Report // those that are
	atEnd                   float64        // chance that a job is cancelled at the moment of its end
	atEnds                  int            // how often that was so
	gangDone                map[uint64]bool
	mistakes                map[string]bool // jobs that fail on every machine
	wrong                   float64         // tasks run so many times as long as their owners say; 0: 1
	onBegin                 func(s *wire.JobSpec)
}

type node struct {
	name, zone, bind, peers string
	host                    host.Net
	stop                    context.CancelFunc
	done                    chan struct{}
	killed                  *atomic.Bool // that process was ended between two statements
}

// NodeName is the name of a node.
func NodeName(i int) string { return fmt.Sprintf("n%d", i) }

// Params are settings for tests.
func Params() config.Params {
	return config.Params{
		InitialSize: 3, Zones: []string{"a", "b"}, TimeBoundMS: 500,
		Teams:      []config.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 8, CPUsMax: 20}, {Name: "guest"}},
		Objectives: []config.Objective{{Kind: "wait", Class: "web", WithinS: 2, Share: 0.9}},
		Workers:    config.Workers{ReportS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49},
		State:      config.State{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 8, ListLagS: 3},
		Limits:     config.Limits{CPUShare: 0.5, MemoryMB: 179, MaxSockets: 2500},
	}
}

// Places are the addresses at which everything listens.
type Places struct {
	State, Cloud string
	Users, Peers func(node int) string
	Worker       func(machine int) string
}

var inMemory = Places{
	State: "10.2.0.1:1", Cloud: "10.2.0.2:1",
	Users:  func(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) },
	Peers:  func(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) },
	Worker: func(i int) string { return fmt.Sprintf("10.1.0.%d:90", i) },
}

// New makes a world in memory with so many nodes, which are not started yet.
func New(ctx context.Context, nodes int, seed uint64, start Controller) *World {
	n := NewNetwork()
	w, err := NewOn(ctx, func(name string) host.Net { return n.Host(name) }, inMemory, nodes, seed, start)
	if err != nil {
		panic(err)
	}
	w.Net = n
	return w
}

// Site is what a deployment consists of.
type Site struct {
	Params config.Params
	Types  []wire.MachineType
	// Most is how many machines of a type and kind each zone has, and Page how many machines a page of the cloud's list has.
	Most func(typ string, spot bool) int
	Page int
	// OnBegin, if not nil, is told whenever a worker begins a task.
	OnBegin func(s *wire.JobSpec)
}

// SmallSite is the deployment that tests run on.
func SmallSite() Site {
	return Site{Params: Params(), Types: types, Page: 2} // small pages, to have them tested
}

// NewOn makes a world on some other network, on which nothing can be cut or frozen.
func NewOn(ctx context.Context, via func(name string) host.Net, at Places, nodes int, seed uint64, start Controller) (*World, error) {
	return NewSite(ctx, via, at, nodes, seed, start, SmallSite())
}

// NewSite makes a world of a deployment on some network.
func NewSite(ctx context.Context, via func(name string) host.Net, at Places, nodes int, seed uint64, start Controller, site Site) (*World, error) {
	p := site.Params
	w := &World{
		State: NewState(seed), Params: p, ctx: ctx, start: start, via: via, at: at,
		lease: config.Seconds(p.Workers.LeaseS), report: config.Seconds(p.Workers.ReportS), gangWait: config.Seconds(p.Workers.GangWaitS),
		fetch: 1500 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 2)), gangs: map[string]map[string]bool{}, gangDone: map[uint64]bool{}, mistakes: map[string]bool{},
	}
	w.Referee = NewReferee(limitsOf(p.Teams), config.Seconds(p.Workers.CancelS))
	w.onBegin = site.OnBegin
	w.Cloud = &Cloud{world: w, types: site.Types, page: site.Page, mostOf: site.Most, most: mostOf, Machines: map[string]*Worker{}, hires: map[string][]string{}, boots: map[string]time.Time{}}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{name: NodeName(i), zone: p.Zones[i%len(p.Zones)], bind: at.Users(i), peers: at.Peers(i)})
	}
	if err := w.State.Serve(ctx, via("state"), at.State); err != nil {
		return nil, err
	}
	if err := w.Cloud.serve(ctx); err != nil {
		return nil, err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(checkEvery)
			w.Referee.Check()
			w.checkRoom()
		}
	}()
	return w, nil
}

func limitsOf(teams []config.Team) map[string][2]float64 {
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.Name] = [2]float64{t.CPUsMax, t.GPUsMax}
	}
	return limits
}

// SetTeams gives the deployment other teams, before its nodes start.
func (w *World) SetTeams(teams []config.Team) {
	w.Params.Teams = teams
	w.Referee.mu.Lock()
	defer w.Referee.mu.Unlock()
	w.Referee.limits = limitsOf(teams)
}

// Context ends with the world.
func (w *World) Context() context.Context { return w.ctx }

// Start starts a node.
func (w *World) Start(i int) {
	nd := w.nodes[i]
	s := &config.Settings{Node: nd.name, Zone: nd.zone, Bind: nd.bind, PeerListen: nd.peers, Params: w.Params,
		Endpoints: config.Endpoints{Cloud: w.at.Cloud, State: w.at.State}}
	for _, o := range w.nodes {
		if o != nd {
			s.Members = append(s.Members, config.Member{Node: o.name, Zone: o.zone, Addr: o.peers})
		}
	}
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan struct{})
	h := w.via(nd.name)
	killed := &atomic.Bool{}
	nd.host, nd.stop, nd.done, nd.killed = h, stop, done, killed
	go func() {
		defer close(done)
		if err := w.start(ctx, h, s); err != nil && ctx.Err() == nil && !killed.Load() {
			panic(err)
		}
	}()
}

// Crash ends a node at once.
func (w *World) Crash(i int) {
	w.nodes[i].stop()
	<-w.nodes[i].done
}

// Kill ends a node between two statements, as a process is ended that gets no signal: nothing that it would do in
// order reaches anybody, its leases and what it sent live on, and a new process may be started at once.
func (w *World) Kill(i int) {
	w.nodes[i].killed.Store(true) // its listeners end before it does
	if h, ok := w.nodes[i].host.(*Host); ok {
		h.End()
	}
	w.nodes[i].stop()
}

// Restart kills a node, whose next process begins after a while.
func (w *World) Restart(i int, after time.Duration) {
	w.Kill(i)
	time.Sleep(after)
	w.Start(i)
}

// Trouble sets the chance of each kind of lost answer and late execution, and
// by how much things may be late.
func (w *World) Trouble(p float64, late time.Duration) {
	w.mu.Lock()
	w.lateOrders, w.lateBy = p, late
	w.mu.Unlock()
	w.State.mu.Lock()
	w.State.loseAnswer, w.State.loseRequest, w.State.lateFrom, w.State.lateBy = p/2, p/2, 0, late/2
	w.State.mu.Unlock()
	w.Cloud.mu.Lock()
	w.Cloud.loseAnswer = 2 * p
	w.Cloud.mu.Unlock()
}

// Copies sets the chance that a copy of a report comes to the node that it was sent to, and by how much it may be late.
func (w *World) Copies(p float64, late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies, w.copiesBy = p, late
}

// copyLater sends a report once more, perhaps. Nobody is there for the answer.
func (w *World) copyLater(to string, rep *wire.Report) {
	w.mu.Lock()
	again, late := false, time.Duration(0)
	if w.keep > 0 && w.rng.Float64() < w.keep {
		w.kept = append(w.kept[max(0, len(w.kept)-keptMost):], rep)
	}
	if w.copies > 0 {
		again, late = w.rng.Float64() < w.copies, time.Duration(w.rng.Float64()*float64(w.copiesBy))
	}
	w.mu.Unlock()
	if again {
		go func() {
			select {
			case <-w.ctx.Done():
			case <-time.After(late):
				w.SendCopy(to, rep)
			}
		}()
	}
}

// SendCopy sends a report as the network might that kept a copy of it.
func (w *World) SendCopy(to string, rep *wire.Report) {
	c := msgpackhttp.New(w.via("copies"), 1, 1, time.Second)
	defer c.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	_ = c.Do(ctx, "POST", to, wire.PathReport, rep, &wire.ReportAnswer{}, wire.MaxBody)
}

// keptMost bounds the copies of reports that are kept for the next leader.
const keptMost = 500

// KeepCopies sets the chance that a copy of a report is kept for the next leader.
func (w *World) KeepCopies(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keep = share
}

// SendKept sends copies that were kept to every node, all at once, and counts them: of each machine the oldest, one in the middle and the newest.
func (w *World) SendKept() (sent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	by := map[string][]*wire.Report{}
	for _, r := range w.kept {
		by[r.Machine] = append(by[r.Machine], r)
	}
	for _, list := range by {
		for _, k := range []int{0, len(list) / 2, len(list) - 1} {
			for _, nd := range w.nodes {
				sent++
				go w.SendCopy(nd.bind, list[k])
			}
		}
	}
	return sent
}

// CancelAtEnd sets the chance that a user calls off a job at the moment at which its last task ends.
func (w *World) CancelAtEnd(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.atEnd = share
}

// AtEnds counts the jobs that were called off so.
func (w *World) AtEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.atEnds
}

// ending is told of each task that ends as done, just before.
func (w *World) ending(task string) {
	w.mu.Lock()
	chosen := w.atEnd > 0 && w.rng.Float64() < w.atEnd
	early := time.Duration(w.rng.IntN(30)) * time.Millisecond
	w.mu.Unlock()
	if !chosen || !w.Referee.last(task) {
		return
	}
	w.mu.Lock()
	w.atEnds++
	w.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	go func() {
		time.Sleep(early)
		w.Cancel(id)
	}()
}

// Look has users ask for a job at all nodes, so many times with a short pause between them, and repeat its submission.
func (w *World) Look(s *wire.JobSpec, times int, pause time.Duration) {
	b, err := wire.Marshal(s)
	if err != nil {
		panic(err)
	}
	for k := range times {
		for i := range w.nodes {
			go w.CallAt(i, "poll", s.ID, nil)
			if k%3 == 0 {
				go w.CallAt(i, "submit", s.ID, b)
			}
		}
		time.Sleep(pause)
	}
}

// House has a node, which does not run, stand in a zone from its next start on.
func (w *World) House(node int, zone string) { w.nodes[node].zone = zone }

// Users is where a node takes requests.
func (w *World) Users(node int) string { return w.nodes[node].bind }

// Break has every task of a job fail wherever it starts.
func (w *World) Break(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mistakes[id] = true
}

// Fetch sets how long a machine takes to fetch an image, from now on.
func (w *World) Fetch(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetch = d
}

// fetches is how long that is.
func (w *World) fetches() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fetch
}

// Misjudge has tasks run so many times as long as their owners say.
func (w *World) Misjudge(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = times
}

// runs is how long a task runs of which its owner expects so many seconds.
func (w *World) runs(estimateS float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wrong > 0 {
		estimateS *= w.wrong
	}
	return time.Duration(estimateS * 1e9)
}

func (w *World) broken(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mistakes[id]
}

func (w *World) lateness() (bool, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.lateOrders, time.Duration(w.rng.Float64() * float64(w.lateBy))
}

// Freeze has a node's network stand still; the test stops what the node does itself.
func (w *World) Freeze(node int, d time.Duration) { w.Net.Freeze(w.nodes[node].name, d) }

// CutNode parts a node from another node, in both directions.
func (w *World) CutNode(a, b int, apart bool) {
	w.Net.Cut(w.nodes[a].name, w.nodes[b].peers, apart)
	w.Net.Cut(w.nodes[b].name, w.nodes[a].peers, apart)
}

// CutState parts a node from the state service.
func (w *World) CutState(node int, apart bool) {
	w.Net.Cut(w.nodes[node].name, w.at.State, apart)
}

// RefuseState has the state service refuse a node alone, or ends that.
func (w *World) RefuseState(node int, on bool) { w.State.Refuse(w.nodes[node].name, on) }

// Island parts a node from the state service and the other controllers, not from its workers.
func (w *World) Island(node int, apart bool) {
	w.CutState(node, apart)
	for o := range w.nodes {
		if o != node {
			w.CutNode(node, o, apart)
		}
	}
}

// CutCloud parts a node from the cloud.
func (w *World) CutCloud(node int, apart bool) {
	w.Net.Cut(w.nodes[node].name, w.at.Cloud, apart)
}

// CutWorkers parts the workers of a zone from a node.
func (w *World) CutWorkers(zone string, node int, apart bool) {
	for _, wk := range w.Cloud.Up() {
		if wk.Zone == zone {
			w.Net.Cut(wk.Name, w.nodes[node].bind, apart)
			w.Net.Cut(w.nodes[node].name, wk.Addr, apart)
		}
	}
}

func (w *World) indexOf(name string, last int) int {
	for i, n := range w.nodes {
		if n.name == name && i != last%len(w.nodes) {
			return i
		}
	}
	return last + 1
}

func gangKey(task string, attempt uint64) string {
	n, _, _ := wire.ParseTaskID(task)
	return fmt.Sprint(n, "#", attempt)
}

func (w *World) gather(task string, attempt uint64, on string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := gangKey(task, attempt)
	if w.gangs[k] == nil {
		w.gangs[k] = map[string]bool{}
	}
	w.gangs[k][task] = true
}

func (w *World) leave(task string, attempt uint64, on string, done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if done {
		n, _, _ := wire.ParseTaskID(task)
		w.gangDone[n] = true
	}
	delete(w.gangs[gangKey(task, attempt)], task)
}

func (w *World) complete(task string, attempt uint64, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.gangs[gangKey(task, attempt)]) == n
}

// finished tells whether a gang is done: its tasks complete together, and the result is kept for those whose end was not seen.
func (w *World) finished(task string) bool {
	n, _, _ := wire.ParseTaskID(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangDone[n]
}

// Call sends a user's request to some node, as the load balancer would, and
// tells the referee of the answer. It returns the status, 0 for none.
func (w *World) Call(what, id string, body []byte) (int, *wire.JobStatus) {
	w.mu.Lock()
	i := w.rng.IntN(len(w.nodes))
	w.mu.Unlock()
	return w.CallAt(i, what, id, body)
}

// CallAt sends a user's request to a node.
func (w *World) CallAt(i int, what, id string, body []byte) (int, *wire.JobStatus) {
	code, _, _, s := w.askAt(context.Background(), i, what, id, body)
	return code, s
}

// askAt sends a user's request to a node and tells the referee of the answer; the code is
// 0 without one.
func (w *World) askAt(ctx context.Context, i int, what, id string, body []byte) (code int, header http.Header, b []byte, s *wire.JobStatus) {
	tr := &http.Transport{DialContext: dialer(w.via("user")), DisableKeepAlives: true}
	c := http.Client{Transport: tr, Timeout: 5 * time.Second}
	defer tr.CloseIdleConnections()
	method, path := "POST", wire.PathJobs
	switch what {
	case "poll":
		method, path = "GET", wire.PathJobs+"/"+id
	case "cancel":
		w.Referee.Asked(id)
		path = wire.PathJobs + "/" + id + wire.CancelSuffix
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.nodes[i].bind+path, readerOf(body))
	if err != nil {
		return 0, nil, nil, nil
	}
	before := w.Referee.Before(id)
	defer func() {
		if what == "poll" && code != http.StatusOK {
			w.Referee.Unanswered(id)
		}
	}()
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, nil, nil
	}
	defer resp.Body.Close()
	if b, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, nil, nil
	}
	s = &wire.JobStatus{}
	if resp.StatusCode < 300 {
		if err := wire.Unmarshal(b, s); err != nil {
			return 0, nil, nil, nil
		}
	}
	w.Referee.Told(id, what, before, resp.StatusCode, s)
	return resp.StatusCode, resp.Header, b, s
}

// Submit submits a job until it is accepted or refused for good, for up to a minute.
func (w *World) Submit(s *wire.JobSpec) int {
	w.Referee.Know(s)
	b, err := wire.Marshal(s)
	if err != nil {
		panic(err)
	}
	return w.insist("submit", s.ID, b)
}

// Cancel cancels a job, insisting like Submit.
func (w *World) Cancel(id string) int { return w.insist("cancel", id, nil) }

func (w *World) insist(what, id string, b []byte) int {
	code := 0
	for range 60 {
		if code, _ = w.Call(what, id, b); code == 200 || code == 201 || code == 400 || code == 422 || code == 404 {
			return code
		}
		time.Sleep(time.Second)
	}
	return code
}

// Cloud plays the cloud.
type Cloud struct {
	world      *World
	mu         sync.Mutex
	Machines   map[string]*Worker
	hires      map[string][]string
	boots      map[string]time.Time
	listed     []wire.ListedMachine
	next       int
	outage     bool
	loseAnswer float64                         // chance that a request is carried out and not answered
	slowness   float64                         // boots take so many times as long; 0: as usual
	never      int                             // one in so many never comes up; 0: none
	lateBy     time.Duration                   // by how much deletions are carried out late, their sender having given up
	most       int                             // machines of each type, zone and kind
	mostOf     func(typ string, spot bool) int // the same, where it differs
	types      []wire.MachineType
	page       int // machines on a page of the list
}

// mostOf is how many machines of each type, zone and kind there are, unless a test says otherwise.
const mostOf = 4

// Capacity sets how many machines of each type, zone and kind the cloud has; it keeps what is rented.
func (c *Cloud) Capacity(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// SetOutage has the cloud's interface refuse everything.
func (c *Cloud) SetOutage(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outage = on
}

// CPUs counts what the machines that are up have.
func (c *Cloud) CPUs() (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.Machines {
		if !time.Now().Before(c.boots[x.Name]) {
			sum += c.typ(x.Type).CPUs
		}
	}
	return sum
}

var types = []wire.MachineType{
	{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 6, Zones: []string{"a", "b"}},
	{Name: "large", CPUs: 16, MemoryGB: 64, CacheGB: 40, FetchGBPerS: 1, Price: 3, SpotPrice: 1, BootS: 8, Zones: []string{"a", "b"}},
}

func (c *Cloud) typ(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return &wire.MachineType{}
}

// Up lists the workers of machines that exist.
func (c *Cloud) Up() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, w := range c.Machines {
		out = append(out, w)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

func (c *Cloud) serve(ctx context.Context) error {
	ln, err := c.world.via("cloud").Listen(c.world.at.Cloud)
	if err != nil {
		return err
	}
	go func() { // the list lags
		for ctx.Err() == nil {
			time.Sleep(3 * time.Second)
			c.mu.Lock()
			c.listed = c.listed[:0:0]
			for _, w := range c.Machines {
				st := wire.MachineRunning
				if time.Now().Before(c.boots[w.Name]) {
					st = wire.MachineBooting
				}
				c.listed = append(c.listed, wire.ListedMachine{Name: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, State: st})
			}
			sort.Slice(c.listed, func(i, k int) bool { return c.listed[i].Name < c.listed[k].Name })
			c.mu.Unlock()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathTypes, func(w http.ResponseWriter, r *http.Request) {
		c.do(w, func() any { return &wire.MachineTypes{Types: c.types} })
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		c.do(w, func() any {
			l := &wire.MachineList{}
			for _, x := range c.listed {
				if x.Name > r.URL.Query().Get("after") {
					if len(l.Machines) == c.page {
						l.More = true
						break
					}
					l.Machines = append(l.Machines, x)
				}
			}
			return l
		})
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		var h wire.Hire
		b, _ := io.ReadAll(r.Body)
		if wire.Unmarshal(b, &h) != nil {
			answer(w, 400, m{})
			return
		}
		c.do(w, func() any {
			if names, ok := c.hires[h.Request]; ok {
				return &wire.MachineNames{Machines: names}
			}
			same := 0
			for _, x := range c.Machines {
				if x.Type == h.Type && x.Zone == h.Zone && x.Spot == h.Spot {
					same++
				}
			}
			most := c.most
			if c.mostOf != nil {
				most = c.mostOf(h.Type, h.Spot)
			}
			n := min(h.Count, most-same)
			if n <= 0 {
				return nil
			}
			var names []string
			for range n {
				names = append(names, c.boot(ctx, h.Type, h.Zone, h.Spot))
			}
			c.hires[h.Request] = names
			return &wire.MachineNames{Machines: names}
		})
	})
	mux.HandleFunc("POST "+wire.PathRelease, func(w http.ResponseWriter, r *http.Request) {
		var names wire.MachineNames
		b, _ := io.ReadAll(r.Body)
		if wire.Unmarshal(b, &names) != nil {
			answer(w, 400, m{})
			return
		}
		c.mu.Lock()
		late := c.lateBy
		c.mu.Unlock()
		if late > 0 {
			go func() {
				time.Sleep(late)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.remove(names.Machines)
			}()
			panic(http.ErrAbortHandler)
		}
		c.do(w, func() any {
			c.remove(names.Machines)
			return m{}
		})
	})
	serve(ctx, ln, mux)
	return nil
}

func (c *Cloud) remove(names []string) {
	for _, n := range names {
		if wk := c.Machines[n]; wk != nil {
			delete(c.Machines, n)
			wk.die()
		}
	}
}

// Boots sets how many times as long boots take, and that one in so many never ends.
func (c *Cloud) Boots(slowness float64, never int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness, c.never = slowness, never
}

// Rented counts all machines that were ever rented.
func (c *Cloud) Rented() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// LoseAnswers sets the chance that a request is carried out and not answered.
func (c *Cloud) LoseAnswers(p float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswer = p
}

// Delay has deletions carried out late, and not answered.
func (c *Cloud) Delay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateBy = d
}

func (c *Cloud) do(w http.ResponseWriter, f func() any) {
	time.Sleep(80 * time.Millisecond)
	c.mu.Lock()
	if c.outage {
		c.mu.Unlock()
		answer(w, 503, m{"error": "trouble"})
		return
	}
	v := f()
	lose := c.world.chance(c.loseAnswer)
	c.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if v == nil {
		answer(w, 503, m{"error": "no capacity"})
		return
	}
	answer(w, 200, v)
}

func (w *World) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

func (c *Cloud) boot(ctx context.Context, typ, zone string, spot bool) string {
	c.next++
	name := fmt.Sprintf("host-%06d", c.next)
	ctx, stop := context.WithCancel(ctx)
	wk := &Worker{Name: name, Addr: c.world.at.Worker(c.next), Type: typ, Zone: zone, Spot: spot, world: c.world,
		rng: rand.New(rand.NewPCG(uint64(c.next), 3)), stop: stop, images: map[string]bool{}}
	c.Machines[name] = wk
	d := time.Duration(c.typ(typ).BootS * (0.6 + 0.9*wk.rng.Float64()) * 1e9)
	if c.slowness > 0 {
		d = time.Duration(float64(d) * c.slowness)
	}
	if c.never > 0 && c.next%c.never == 0 {
		d = 24 * time.Hour
	}
	c.boots[name] = time.Now().Add(d)
	go func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			wk.run(ctx)
		}
	}()
	return name
}

// Take takes a machine away without notice.
func (c *Cloud) Take(name string) {
	c.mu.Lock()
	wk := c.Machines[name]
	delete(c.Machines, name)
	c.mu.Unlock()
	if wk != nil {
		wk.die()
	}
}

// Client is for tests that talk to a stand-in themselves.
func (w *World) Client(name string) *msgpackhttp.Client {
	return msgpackhttp.New(w.via(name), 1, 4, time.Second)
}
