package main

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

const (
	tickInterval  = 100 * time.Millisecond
	reportTimeout = 4 * time.Second
	minReportGap  = 500 * time.Millisecond
	nextNodeDelay = time.Second
	// sickDelay is how long a task runs on a machine that fails every task, before it fails.
	sickDelay = 300 * time.Millisecond
)

// machine is a stand-in for a rented machine and its worker, as PROTOCOL describes them.
type machine struct {
	name, zone string
	spot       bool
	typ        *wire.MachineType
	hiredAt    time.Time
	platform   *platform
	listener   net.Listener
	stop       context.CancelFunc

	mu        sync.Mutex
	up, gone  bool
	shift     uint64
	tick      uint64
	baton     uint64
	tasks     []*task
	images    map[string]bool
	leaseEnd  time.Time
	advanced  time.Time // when the tasks last went on
	changed   bool      // a report is due because something changed
	sickUntil time.Time // until then every task that it starts fails
	slow      float64   // tasks take this many times as long; 0 stands for 1
	oversize  int       // reports that could not be sent because of their size
}

// task is an attempt of a task on a machine, kept until it is reaped.
type task struct {
	id      string
	attempt uint64
	spec    *wire.JobSpec
	state   string
	cause   string
	since   time.Time
	left    time.Duration // run time until it is done
	fails   bool
	present bool // on the machine in the sense of the rules: has its image and has not exited
}

func (t *task) exited() bool { return t.state == wire.TaskExited }

func (m *machine) addr() string { return m.listener.Addr().String() }

// run boots the machine and lets it work until the context ends.
func (m *machine) run(ctx context.Context, boot time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(boot):
	}
	m.mu.Lock()
	m.up, m.shift, m.advanced, m.leaseEnd = true, 1, time.Now(), time.Now().Add(m.platform.lease())
	m.mu.Unlock()
	m.platform.record.add("machine %s (%s, %s) is up at %s", m.name, m.typ.Name, m.zone, m.addr())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, m.serveOrders)
	mux.HandleFunc("GET "+wire.PathProbe, m.serveShow)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(m.listener) }()
	go m.report(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = server.Close()
			return
		case <-ticker.C:
			m.mu.Lock()
			m.advance(time.Now())
			m.mu.Unlock()
		}
	}
}

// advance lets the tasks go on up to now, or ends them all if the lease is over.
func (m *machine) advance(now time.Time) {
	if m.gone {
		return
	}
	if now.After(m.leaseEnd) {
		m.platform.record.add("%s: lease over in session %d, %d tasks killed", m.name, m.shift, len(m.tasks))
		for _, t := range m.tasks {
			m.leave(t, "lease over")
		}
		m.tasks, m.changed = nil, true
		m.shift++
		m.leaseEnd = now.Add(m.platform.lease())
	}
	elapsed := now.Sub(m.advanced)
	m.advanced = now
	if m.slow > 1 {
		elapsed = time.Duration(float64(elapsed) / m.slow)
	}
	for _, t := range m.tasks {
		m.advanceTask(t, now, elapsed)
	}
}

func (m *machine) advanceTask(t *task, now time.Time, elapsed time.Duration) {
	switch t.state {
	case wire.TaskFetching:
		fetch := time.Duration(t.spec.ImageGB / m.typ.FetchGBPerS * float64(time.Second))
		if m.images[t.spec.Image] || now.Sub(t.since) >= fetch {
			m.images[t.spec.Image] = true
			m.begin(t, now)
		}
	case wire.TaskWaiting:
		switch {
		case m.platform.gangComplete(t):
			t.state, t.since, m.changed = wire.TaskRunning, now, true
		case now.Sub(t.since) > time.Duration(m.platform.params.Workers.GangWaitS*float64(time.Second)):
			m.exit(t, wire.CauseGangIncomplete)
		}
	case wire.TaskRunning:
		switch t.left -= elapsed; {
		case m.platform.isFinished(t.id):
			m.exit(t, wire.CauseDone)
		case t.spec.Shape == wire.Gang && !m.platform.gangComplete(t):
			m.exit(t, wire.CausePeers)
		case t.fails && now.Sub(t.since) >= sickDelay:
			m.exit(t, wire.CauseError)
		case t.spec.Shape != wire.Service && t.left <= 0:
			m.platform.finished(t.id)
			m.exit(t, wire.CauseDone)
		}
	}
}

// begin starts a task that has its image.
func (m *machine) begin(t *task, now time.Time) {
	t.present = true
	m.platform.started(m, t)
	if m.platform.isFinished(t.id) {
		m.exit(t, wire.CauseDone)
		return
	}
	t.fails = now.Before(m.sickUntil)
	t.state, t.since, m.changed = wire.TaskRunning, now, true
	if t.spec.Shape == wire.Gang {
		t.state = wire.TaskWaiting
		m.platform.join(t)
	}
}

func (m *machine) exit(t *task, cause string) {
	t.state, t.cause, m.changed = wire.TaskExited, cause, true
	m.leave(t, cause)
}

// leave records that a task is not on the machine any more.
func (m *machine) leave(t *task, why string) {
	if t.present {
		t.present = false
		m.platform.left(m, t, why)
	}
}

// execute carries out orders, one after the other.
func (m *machine) execute(orders []wire.Command) {
	for _, order := range orders {
		i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.id == order.Task && t.attempt == order.Attempt })
		switch {
		case order.Verb == wire.VerbStart && i < 0:
			m.accept(order)
		case order.Verb == wire.VerbStop && i >= 0 && !m.tasks[i].exited():
			m.exit(m.tasks[i], wire.CauseStopped)
		case order.Verb == wire.VerbForget && i >= 0 && m.tasks[i].exited():
			m.tasks = slices.Delete(m.tasks, i, i+1)
			m.changed = true
		}
	}
}

// accept takes a task on, or refuses it.
func (m *machine) accept(order wire.Command) {
	number, _, _ := wire.ParseTaskID(order.Task)
	t := &task{id: order.Task, attempt: order.Attempt, state: wire.TaskFetching, since: time.Now()}
	t.spec = m.platform.spec(number)
	m.changed = true
	switch {
	case t.spec == nil:
		t.spec, t.state, t.cause = &wire.JobSpec{}, wire.TaskExited, wire.CauseUnknown
	case slices.ContainsFunc(m.tasks, func(o *task) bool { return o.id == t.id && !o.exited() }):
		t.state, t.cause = wire.TaskExited, wire.CauseBusy
	case !m.freeFor(t.spec):
		t.state, t.cause = wire.TaskExited, wire.CauseNoCapacity
	}
	t.left = time.Duration(t.spec.EstimateS * float64(time.Second))
	m.tasks = append(m.tasks, t)
}

// tolerance is the rounding error that sums of amounts may have.
const tolerance = 1e-6

// freeFor reports whether a task of a job fits beside the tasks on the machine.
func (m *machine) freeFor(spec *wire.JobSpec) bool {
	cpus, gpus, memory := spec.CPUs, spec.GPUs, spec.MemoryGB
	for _, t := range m.tasks {
		if !t.exited() {
			cpus, gpus, memory = cpus+t.spec.CPUs, gpus+t.spec.GPUs, memory+t.spec.MemoryGB
		}
	}
	return cpus <= m.typ.CPUs+tolerance && gpus <= m.typ.GPUs+tolerance && memory <= m.typ.MemoryGB+tolerance
}

// takeReport returns the next report.
func (m *machine) takeReport() *wire.Heartbeat {
	m.tick++
	report := &wire.Heartbeat{
		Machine: m.name, Addr: m.addr(), Type: m.typ.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.shift, Seq: m.tick, FencingToken: m.baton, Tasks: []wire.TaskStatus{},
	}
	for _, t := range m.tasks {
		report.Tasks = append(report.Tasks, wire.TaskStatus{
			Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause,
		})
	}
	return report
}

func (m *machine) serveShow(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	answer(w, http.StatusOK, m.takeReport())
}

func (m *machine) serveOrders(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a body that ends early can't be decoded
	var batch wire.CommandBatch
	if err := wire.Unmarshal(body, &batch); err != nil || batch.FencingToken == 0 || batch.AgentEpoch == 0 {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	if batch.FencingToken < m.baton || batch.AgentEpoch != m.shift {
		answer(w, http.StatusConflict, m.takeReport())
		return
	}
	m.changed = m.changed || batch.FencingToken > m.baton
	m.baton = batch.FencingToken
	m.execute(batch.Commands)
	answer(w, http.StatusOK, m.takeReport())
}

// report sends reports until the context ends.
func (m *machine) report(ctx context.Context) {
	client := msgpackhttp.New(host.TCP{}, 1, 4, 2*time.Second)
	defer client.Close()
	node, next, lastSent := rand.IntN(len(m.platform.nodes)), time.Now(), time.Time{}
	for ctx.Err() == nil {
		time.Sleep(tickInterval / 2)
		m.mu.Lock()
		m.advance(time.Now())
		now := time.Now()
		if now.Before(next) && !m.changed || now.Sub(lastSent) < minReportGap {
			m.mu.Unlock()
			continue
		}
		m.changed = false
		report := m.takeReport()
		m.mu.Unlock()
		interval := m.platform.params.Workers.HeartbeatS * (0.75 + 0.5*rand.Float64())
		next, lastSent = now.Add(time.Duration(interval*float64(time.Second))), now
		if size := jsonSize(report); size > wire.MaxBody {
			m.mu.Lock()
			m.oversize++
			m.mu.Unlock()
			m.platform.record.add("%s: report %d has %d tasks and %d bytes, and can't be sent",
				m.name, report.Seq, len(report.Tasks), size)
			continue
		}
		var pause time.Duration
		node, pause = m.send(ctx, client, node, report, now)
		if pause > 0 {
			time.Sleep(pause)
			next = time.Now()
		}
	}
}

// send sends a report to a node and carries out what it answers. It returns the node for the next report, and how long
// to wait before that if the report was not answered with 200.
func (m *machine) send(
	ctx context.Context, client *msgpackhttp.Client, node int, report *wire.Heartbeat, sentAt time.Time,
) (next int, pause time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var response wire.HeartbeatResponse
	to := m.platform.nodes[node]
	err := client.Do(ctx, http.MethodPost, to.bind, wire.PathHeartbeat, report, &response, wire.MaxBody)
	if err != nil {
		m.platform.record.add("%s: report %d/%d to %s: %v", m.name, report.AgentEpoch, report.Seq, to.name, err)
		if named := redirected(err, m.platform); named >= 0 && named != node {
			return named, tickInterval
		}
		return (node + 1) % len(m.platform.nodes), nextNodeDelay
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.AgentEpoch != m.shift || response.FencingToken < m.baton || m.gone {
		return node, 0
	}
	m.changed = m.changed || response.FencingToken > m.baton
	m.baton, m.leaseEnd = response.FencingToken, sentAt.Add(m.platform.lease())
	m.execute(response.Commands)
	return node, 0
}

// redirected returns the node that a 421 names, or -1.
func redirected(err error, p *platform) int {
	var status *msgpackhttp.StatusError
	if !errors.As(err, &status) || status.Code != http.StatusMisdirectedRequest {
		return -1
	}
	var to wire.Redirect
	_ = wire.Unmarshal(status.Body, &to) // a malformed body names no node
	return slices.IndexFunc(p.nodes, func(n *node) bool { return n.name == to.Node })
}

// remove ends the machine and everything on it.
func (m *machine) remove(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	m.stop()
	_ = m.listener.Close()
	m.platform.record.add("machine %s is gone with %d tasks: %s", m.name, len(m.tasks), why)
	for _, t := range m.tasks {
		m.leave(t, "machine gone")
	}
	m.tasks = nil
}
