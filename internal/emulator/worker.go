package emulator

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// Worker plays the worker of one machine.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	world                  *World
	rng                    *rand.Rand

	mu       sync.Mutex
	session  uint64
	seq      uint64
	token    uint64
	tasks    []*running
	leaseEnd time.Time // lease_s after the sending of the last answered report
	changed  bool
	hangs    time.Time // executes nothing until then
	sick     bool
	lost     bool          // the machine is gone
	deaf     bool          // its reports arrive, answers and commands don't reach it
	mute     bool          // it reaches no controller, direct commands and questions reach it
	held     time.Duration // direct commands are held up by so much, their senders get no answer
	holding  int           // how many were
	life     int           // how often it was started again
	sent     *wire.Report  // the last one
	stop     context.CancelFunc
	images   map[string]bool
	target   int
}

type running struct {
	id      string
	attempt uint64
	spec    *wire.JobSpec
	state   string
	cause   string
	saved   bool
	since   time.Time // of the state
	left    time.Duration
	on      bool // counts as being on the machine
}

const step = 100 * time.Millisecond

func (w *Worker) run(ctx context.Context) {
	h := w.world.via(w.Name)
	ln, err := h.Listen(w.Addr)
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathOrders, w.orders)
	mux.HandleFunc("GET "+wire.PathShow, func(rw http.ResponseWriter, r *http.Request) {
		for w.hung() {
			time.Sleep(step)
		}
		w.unreached()
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(rw, 200, w.report())
	})
	serve(ctx, ln, mux)
	w.mu.Lock()
	w.session, w.leaseEnd = 1, time.Now().Add(w.world.lease)
	w.mu.Unlock()
	go w.reports(ctx, h)
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.mu.Lock()
			if time.Now().After(w.hangs) {
				w.advance()
			}
			w.mu.Unlock()
		}
	}
}

// Hang makes the machine execute nothing for a while. One that hangs already is left alone, and between two hangs it comes to
// run: two that followed on each other once kept it for longer than a cancellation has, which no service can help while the state service is
// away, and which the protocol excludes, since a machine that hangs goes on within its lease or not at all.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.hangs) {
		return
	}
	w.advance()
	w.hangs = time.Now().Add(d)
}

func (w *Worker) hung() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.lost && time.Now().Before(w.hangs)
}

// Deafen has the machine's reports arrive while answers and commands don't reach it, or ends that.
func (w *Worker) Deafen(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = on
}

// Silence has the machine reach no controller, while direct commands and questions reach it, or ends that.
func (w *Worker) Silence(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = on
}

// Hold has direct commands to the machine held up from now on: their senders get no answer, and they are carried out so much
// later if token and session still match. 0 ends that for those that come from then on.
func (w *Worker) Hold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = d
}

// Holding counts the direct commands that were held up.
func (w *Worker) Holding() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holding
}

// unreached loses what was sent to a machine that can't be reached: its sender gets no answer while it waits for one.
func (w *Worker) unreached() {
	for range 50 {
		w.mu.Lock()
		deaf := w.deaf
		w.mu.Unlock()
		if !deaf {
			return
		}
		time.Sleep(step)
	}
	panic(http.ErrAbortHandler)
}

// Reboot ends the machine's worker with everything on it, and starts it again under the same name. The protocol does not say
// what its numbers begin with: they go on in a new session, or, if afresh, begin at 1 as those of a new machine do.
func (w *Worker) Reboot(afresh bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		return
	}
	for _, t := range w.tasks {
		w.off(t, false)
	}
	w.tasks, w.changed, w.images = nil, true, map[string]bool{}
	w.leaseEnd = time.Now().Add(w.world.lease)
	w.life++
	if w.session++; afresh {
		w.session, w.seq, w.token = 1, 0, 0
	}
}

// Sent is the last report that the machine sent.
func (w *Worker) Sent() *wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// Sicken makes every task that runs on the machine fail.
func (w *Worker) Sicken() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = true
}

// advance moves tasks on by a step and ends the session when the lease is over.
func (w *Worker) advance() {
	if w.lost {
		return
	}
	now := time.Now()
	if now.After(w.leaseEnd) {
		for _, t := range w.tasks {
			w.off(t, false)
		}
		w.tasks, w.changed = nil, true
		w.session++
		w.leaseEnd = now.Add(w.world.lease)
	}
	for _, t := range w.tasks {
		switch t.state {
		case wire.TaskFetching:
			if w.images[t.spec.Image] || now.Sub(t.since) > w.world.fetches() {
				w.images[t.spec.Image] = true
				t.on = true
				w.world.Referee.Start(t.id, w)
				if w.world.Referee.isDone(t.id) || t.spec.Shape == wire.Gang && w.world.finished(t.id) {
					w.exit(t, wire.CauseDone, false)
				} else if t.spec.Shape == wire.Gang {
					w.world.gather(t.id, t.attempt, w.Name)
					w.set(t, wire.TaskWaiting)
				} else {
					w.set(t, wire.TaskRunning)
				}
			}
		case wire.TaskWaiting:
			if w.world.complete(t.id, t.attempt, t.spec.Tasks) {
				w.set(t, wire.TaskRunning)
			} else if now.Sub(t.since) > w.world.gangWait {
				w.exit(t, wire.CauseAlone, false)
			}
		case wire.TaskRunning:
			if w.sick || w.world.broken(t.spec.ID) {
				w.exit(t, wire.CauseError, false)
				continue
			}
			if t.spec.Shape == wire.Gang && w.world.finished(t.id) {
				w.exit(t, wire.CauseDone, false)
				continue
			}
			if t.spec.Shape == wire.Gang && !w.world.complete(t.id, t.attempt, t.spec.Tasks) {
				w.exit(t, wire.CausePeers, false)
				continue
			}
			if t.spec.Shape != wire.Service {
				if t.left -= step; t.left <= 0 {
					w.world.ending(t.id)
					w.exit(t, wire.CauseDone, false)
				}
			}
		case wire.TaskSaving:
			if now.Sub(t.since).Seconds() > t.spec.SaveS {
				w.exit(t, wire.CauseStopped, true)
			}
		}
	}
}

func (w *Worker) set(t *running, state string) {
	t.state, t.since, w.changed = state, time.Now(), true
}

func (w *Worker) exit(t *running, cause string, saved bool) {
	w.set(t, wire.TaskExited)
	t.cause, t.saved = cause, saved
	w.off(t, cause == wire.CauseDone)
}

func (w *Worker) off(t *running, done bool) {
	if t.on {
		t.on = false
		w.world.Referee.Gone(t.id, w, done)
	}
	if t.spec != nil && t.spec.Shape == wire.Gang {
		w.world.leave(t.id, t.attempt, w.Name, done)
	}
}

// die takes the machine away with everything on it.
func (w *Worker) die() {
	w.mu.Lock()
	w.lost = true
	for _, t := range w.tasks {
		w.off(t, false)
	}
	w.tasks = nil
	w.mu.Unlock()
	w.stop()
}

func (w *Worker) report() *wire.Report {
	w.seq++
	r := &wire.Report{Machine: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		var found *running
		for _, t := range w.tasks {
			if t.id == c.Task && t.attempt == c.Attempt {
				found = t
			}
		}
		switch {
		case c.Verb == wire.Start && found == nil:
			w.begin(c)
		case c.Verb == wire.Stop && found != nil && found.state != wire.TaskExited:
			grace := 0.0
			if c.GraceS != nil {
				grace = *c.GraceS
			}
			switch {
			case found.state == wire.TaskSaving && grace > 0:
			case found.state == wire.TaskRunning && found.spec.CheckpointS > 0 && grace >= found.spec.SaveS:
				w.set(found, wire.TaskSaving)
			default:
				w.exit(found, wire.CauseStopped, false)
			}
		case c.Verb == wire.Forget && found != nil && found.state == wire.TaskExited:
			for i, t := range w.tasks {
				if t == found {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
			w.changed = true
		}
	}
}

func (w *Worker) begin(c wire.Command) {
	w.changed = true
	t := &running{id: c.Task, attempt: c.Attempt, since: time.Now(), state: wire.TaskFetching}
	w.tasks = append(w.tasks, t)
	n, _, _ := wire.ParseTaskID(c.Task)
	t.spec = w.world.Referee.Spec(n)
	if t.spec == nil {
		w.exit(t, wire.CauseUnknown, false)
		return
	}
	if w.world.onBegin != nil {
		w.world.onBegin(t.spec)
	}
	t.left = time.Duration(float64(w.world.runs(t.spec.EstimateS)) * (0.7 + w.rng.Float64()))
	typ := w.world.Cloud.typ(w.Type)
	cpus, gpus, mem := 0.0, 0.0, 0.0
	for _, o := range w.tasks {
		if o.state != wire.TaskExited {
			cpus, gpus, mem = cpus+o.spec.CPUs, gpus+o.spec.GPUs, mem+o.spec.MemoryGB
			if o != t && o.id == t.id {
				w.exit(t, wire.CauseBusy, false)
				return
			}
		}
	}
	if cpus > typ.CPUs+1e-9 || gpus > typ.GPUs+1e-9 || mem > typ.MemoryGB+1e-9 {
		w.exit(t, wire.CauseNoRoom, false)
	}
}

// orders executes direct commands, sometimes late: the sender has given up by then.
func (w *Worker) orders(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Millisecond)
	body, _ := io.ReadAll(r.Body)
	var o wire.Orders
	if err := wire.Unmarshal(body, &o); err != nil {
		answer(rw, 400, m{})
		return
	}
	late, wait := w.world.lateness()
	w.mu.Lock()
	if w.held > 0 {
		late, wait = true, w.held
		w.holding++
	}
	w.mu.Unlock()
	if late {
		w.mu.Lock()
		life := w.life // what is on its way to an earlier one ends with its connections
		w.mu.Unlock()
		go func() {
			time.Sleep(wait)
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.lost && !w.deaf && w.life == life && o.Token >= w.token && o.Session == w.session {
				w.token = o.Token
				w.execute(o.Commands)
			}
		}()
		panic(http.ErrAbortHandler)
	}
	w.unreached()
	for {
		w.mu.Lock()
		if w.lost || time.Now().After(w.hangs) {
			break
		}
		w.mu.Unlock()
		time.Sleep(step)
	}
	defer w.mu.Unlock()
	code := 200
	w.advance()
	if o.Token < w.token || o.Session != w.session {
		code = 409
	} else {
		w.token = o.Token
		w.execute(o.Commands)
	}
	answer(rw, code, w.report())
}

// reports is the worker's loop of reports.
func (w *Worker) reports(ctx context.Context, h host.Net) {
	c := msgpackhttp.New(h, 1, 4, 2*time.Second)
	defer c.Close()
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(step / 2)
		w.mu.Lock()
		now := time.Now()
		if now.Before(w.hangs) || now.Before(next) && !w.changed {
			w.mu.Unlock()
			continue
		}
		w.advance()
		w.changed = false
		rep := w.report()
		node := w.world.nodes[w.target%len(w.world.nodes)]
		next = now.Add(time.Duration((0.75 + 0.5*w.rng.Float64()) * float64(w.world.report)))
		life, mute := w.life, w.mute
		if !mute {
			w.sent = rep
		}
		w.mu.Unlock()
		if mute {
			time.Sleep(500 * time.Millisecond) // no connection is made
			w.mu.Lock()
			w.target++
			w.mu.Unlock()
			continue
		}
		w.world.copyLater(node.bind, rep)
		rctx, cancel := context.WithTimeout(ctx, 4*time.Second)
		var a wire.ReportAnswer
		err := c.Do(rctx, "POST", node.bind, wire.PathReport, rep, &a, wire.MaxBody)
		cancel()
		w.mu.Lock()
		if w.deaf {
			w.mu.Unlock()
			time.Sleep(4*time.Second - time.Since(now))
			w.mu.Lock()
			err = errNoAnswer
		}
		if w.life != life { // that was an earlier one's
			w.mu.Unlock()
			continue
		}
		switch code := msgpackhttp.Code(err); {
		case err == nil:
			if rep.Session == w.session && a.Token >= w.token && !w.lost {
				w.token = a.Token
				w.leaseEnd = now.Add(w.world.lease)
				w.execute(a.Commands)
			}
		case code == 421:
			w.target = w.world.indexOf(redirect(err), w.target)
			next = now.Add(300 * time.Millisecond)
		default:
			w.target++
			next = now.Add(time.Second)
		}
		w.mu.Unlock()
		if err != nil {
			time.Sleep(300 * time.Millisecond)
		} else {
			time.Sleep(400 * time.Millisecond) // not more often than every half second
		}
	}
}

var errNoAnswer = errors.New("no answer")

func redirect(err error) string {
	var r wire.Redirect
	if se, ok := err.(*msgpackhttp.StatusError); ok {
		_ = wire.Unmarshal(se.Body, &r)
	}
	return r.Node
}
