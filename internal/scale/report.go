package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is what a run measured. Rates are by second of the measured time.
type Report struct {
	Profile  Profile  `json:"profile"`
	Took     float64  `json:"measured_s"`
	Regions  []Region `json:"regions"`
	Machine  Machine  `json:"machine"`
	Broken   []string `json:"rules_broken"`
	Limiting string   `json:"machine_was_the_limit,omitempty"` // why the figures are the machine's and not the service's
}

// Region is what one region did.
type Region struct {
	Leader  Role  `json:"leader"`
	Others  Role  `json:"others"` // the mean of the controllers that do not lead
	Most    Role  `json:"most"`   // of each figure the largest of any controller
	State   State `json:"state_service"`
	Workers struct {
		Up       int     `json:"up"`
		BytesS   float64 `json:"bytes_per_s"` // of one worker, both ways, headers included
		Sockets  float64 `json:"sockets"`     // of one worker
		LostLeas int     `json:"leases_lost"`
	} `json:"workers"`
	StartsS  float64            `json:"starts_per_s"`
	Asked    float64            `json:"starts_per_s_asked"`
	Running  int                `json:"tasks_running"`
	Jobs     int                `json:"jobs_known"`
	Start    map[string]Latency `json:"start_latency_ms"`
	Submit   Latency            `json:"submit_latency_ms"`
	Accepted int64              `json:"submissions_accepted"`
	Refused  int64              `json:"submissions_given_up"`
	Taken    map[string]float64 `json:"takeovers"`
}

// Role is what a controller costs.
type Role struct {
	CPU        float64 `json:"cpu"` // processor seconds a second
	ResidentMB float64 `json:"resident_mb"`
	HeapMB     float64 `json:"heap_mb"`
	Sockets    float64 `json:"sockets"`
	Threads    float64 `json:"threads"`
	ReportsS   float64 `json:"reports_per_s"`
	RelayedS   float64 `json:"reports_relayed_per_s"`
	KeptS      float64 `json:"reports_kept_per_s"`
	UsersS     float64 `json:"users_requests_per_s"`
	FramesS    float64 `json:"peer_frames_per_s"`
	PeerBytesS float64 `json:"peer_bytes_per_s"`
	LogBytesS  float64 `json:"log_bytes_per_s"`
	BatchesS   float64 `json:"log_batches_per_s"`
}

// State is what the state service was asked for.
type State struct {
	RequestsS float64 `json:"requests_per_s"`
	ChangesS  float64 `json:"changes_per_s"`
	BytesS    float64 `json:"bytes_per_s"`
	Keys      int     `json:"keys"`
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
	Mean  float64 `json:"mean"`
}

// Machine is what the run took of the machine it ran on.
type Machine struct {
	HollowCPU        float64 `json:"hollow_cpu"` // of all hollow workers and stand-ins
	HollowMB         float64 `json:"hollow_mb"`
	HollowLagP99     float64 `json:"hollow_lag_p99_ms"`
	Idle             float64 `json:"idle_share"`
	Steal            float64 `json:"steal_share"`
	CPUEachPerWorker float64 `json:"hollow_cpu_per_worker"`
}

func (l *latency) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Latency{l.h.TotalCount(), l.h.ValueAtQuantile(50), l.h.ValueAtQuantile(99), l.h.Max(), l.h.Mean()}
}

func perSecond(before, after counters, seconds float64, names ...string) (sum float64) {
	for _, n := range names {
		sum += max(0, after[n]-before[n]) / seconds
	}
	return sum
}

// answersOf names the counters of the answers to a kind of request.
func answersOf(kind string) (names []string) {
	for _, as := range []string{"ok", "refused", "later"} {
		names = append(names, fmt.Sprintf("fieldhill_answers_total{request=%q,answer=%q}", kind, as))
	}
	return names
}

const mb = 1 << 20

func roleOf(before, after counters, seconds float64) Role {
	rate := func(names ...string) float64 { return perSecond(before, after, seconds, names...) }
	return Role{
		CPU: rate("process_cpu_seconds_total"), ResidentMB: after["process_resident_memory_bytes"] / mb, HeapMB: after["go_memstats_heap_inuse_bytes"] / mb,
		Sockets: after["process_open_fds"], Threads: after["process_num_threads"],
		ReportsS: rate(answersOf("report")...), RelayedS: rate("fieldhill_reports_relayed_total"), KeptS: rate("fieldhill_reports_kept_total"),
		UsersS:  rate(append(append(answersOf("submit"), answersOf("status")...), answersOf("cancel")...)...),
		FramesS: rate("fieldhill_peer_frames_total"), PeerBytesS: rate("fieldhill_peer_bytes_total"),
		LogBytesS: rate("fieldhill_log_bytes_total"), BatchesS: rate("fieldhill_log_write_seconds_count"),
	}
}

// fields are a role's figures, for means and maxima.
func (r *Role) fields() []*float64 {
	return []*float64{&r.CPU, &r.ResidentMB, &r.HeapMB, &r.Sockets, &r.Threads, &r.ReportsS, &r.RelayedS, &r.KeptS, &r.UsersS, &r.FramesS, &r.PeerBytesS, &r.LogBytesS, &r.BatchesS}
}

// summarize makes a region's report of what was counted before and after.
func (r *region) summarize(before, after snapshot) Region {
	seconds := after.at.Sub(before.at).Seconds()
	out := Region{Start: map[string]Latency{}, Taken: map[string]float64{}, Asked: r.p.rate(r.index, r.p.WarmS+r.p.RunS/2)}
	others := 0.0
	for i, c := range after.nodes {
		if c == nil || before.nodes[i] == nil {
			continue
		}
		role := roleOf(before.nodes[i], c, seconds)
		out.Taken["terms"] += max(0, c["fieldhill_terms_total"]-before.nodes[i]["fieldhill_terms_total"])
		for k, f := range role.fields() {
			m := out.Most.fields()[k]
			*m = max(*m, *f)
		}
		if c["fieldhill_leads"] == 1 {
			out.Leader, out.Jobs = role, int(c["fieldhill_jobs"])
			continue
		}
		others++
		for k, f := range role.fields() {
			*out.Others.fields()[k] += *f
		}
	}
	for _, f := range out.Others.fields() {
		*f /= max(1, others)
	}
	up := max(1, len(r.world.Cloud.Up()))
	out.Workers.Up, out.Workers.LostLeas = up, r.leases()
	out.Workers.BytesS = float64(after.workers[0]+after.workers[1]-before.workers[0]-before.workers[1]) / seconds / float64(up)
	out.Workers.Sockets = float64(r.net.workers.open.Load()) / float64(up)
	out.StartsS = float64(after.starts-before.starts) / seconds
	out.Running = r.world.Referee.Tasks()
	out.State = State{RequestsS: float64(after.state.Requests-before.state.Requests) / seconds, ChangesS: float64(after.state.Changes-before.state.Changes) / seconds,
		BytesS: float64(after.state.Bytes-before.state.Bytes) / seconds, Keys: after.state.Keys}
	for p, l := range r.starts {
		out.Start[p] = l.summary()
	}
	out.Submit = r.submits.summary()
	out.Accepted, out.Refused = r.accepted.Load(), r.refused.Load()
	return out
}

// Print writes the table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "region\trole\tcpu\tresident MB\theap MB\tsockets\tthreads\treports/s\trelayed/s\tkept/s\tusers/s\tframes/s\tpeer KB/s\tlog KB/s\tbatches/s\n")
	for i, g := range r.Regions {
		for _, x := range []struct {
			name string
			r    Role
		}{{"leader", g.Leader}, {"others", g.Others}, {"most", g.Most}} {
			fmt.Fprintf(t, "%d\t%s\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\n", i, x.name, x.r.CPU, x.r.ResidentMB, x.r.HeapMB, x.r.Sockets, x.r.Threads,
				x.r.ReportsS, x.r.RelayedS, x.r.KeptS, x.r.UsersS, x.r.FramesS, x.r.PeerBytesS/1024, x.r.LogBytesS/1024, x.r.BatchesS)
		}
	}
	fmt.Fprintf(t, "\nregion\tworkers\tKB/s each\tleases lost\tstarts/s\tasked\trunning\tjobs\turgent p50/p99/max ms\tchurn p50/p99/max ms\tsubmit p99 ms\taccepted\tgiven up\tstate req/s\tchanges/s\n")
	for i, g := range r.Regions {
		h, n := g.Start[urgentClass], g.Start[churnClass]
		fmt.Fprintf(t, "%d\t%d\t%.2f\t%d\t%.0f\t%.0f\t%d\t%d\t%d/%d/%d\t%d/%d/%d\t%d\t%d\t%d\t%.0f\t%.1f\n", i, g.Workers.Up, g.Workers.BytesS/1024, g.Workers.LostLeas, g.StartsS, g.Asked, g.Running, g.Jobs,
			h.P50, h.P99, h.Max, n.P50, n.P99, n.Max, g.Submit.P99, g.Accepted, g.Refused, g.State.RequestsS, g.State.ChangesS)
	}
	m := r.Machine
	fmt.Fprintf(t, "\nhollow side: %.2f cores, %.0f MB, timers late by %.1f ms (p99); machine idle %.2f, stolen %.3f\n", m.HollowCPU, m.HollowMB, m.HollowLagP99, m.Idle, m.Steal)
	if r.Limiting != "" {
		fmt.Fprintf(t, "THE MACHINE WAS THE LIMIT: %s\n", r.Limiting)
	}
	fmt.Fprintf(t, "rules broken: %d\n", len(r.Broken))
	for _, b := range r.Broken {
		fmt.Fprintf(t, "  %s\n", b)
	}
}
