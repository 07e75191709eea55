package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Report is what a run measured. Rates are by second of the measured time.
type Report struct {
	Profile    Profile  `json:"profile"`
	MeasuredS  float64  `json:"measured_s"`
	Regions    []Region `json:"regions"`
	Machine    Machine  `json:"machine"`
	Violations []string `json:"rules_broken"`
	// why the figures are the machine's and not the service's
	MachineLimit string `json:"machine_was_the_limit,omitempty"`
}

// Region is what one region did.
type Region struct {
	Leader  ControllerCost `json:"leader"`
	Others  ControllerCost `json:"others"` // the mean of the controllers that do not lead
	Peak    ControllerCost `json:"most"`   // of each figure the largest of any controller
	Store   StoreLoad      `json:"state_service"`
	Workers struct {
		Up       int     `json:"up"`
		BytesS   float64 `json:"bytes_per_s"` // of one worker, both ways, headers included
		Sockets  float64 `json:"sockets"`     // of one worker
		LostLeas int     `json:"leases_lost"`
	} `json:"workers"`
	StartsPerS       float64            `json:"starts_per_s"`
	TargetStartsPerS float64            `json:"starts_per_s_asked"`
	TasksRunning     int                `json:"tasks_running"`
	JobsKnown        int                `json:"jobs_known"`
	StartLatency     map[string]Latency `json:"start_latency_ms"`
	SubmitLatency    Latency            `json:"submit_latency_ms"`
	Accepted         int64              `json:"submissions_accepted"`
	GivenUp          int64              `json:"submissions_given_up"`
	Failovers        map[string]float64 `json:"takeovers"`
}

// ControllerCost is what a controller costs.
type ControllerCost struct {
	CPU                           float64 `json:"cpu"` // processor seconds a second
	ResidentMB                    float64 `json:"resident_mb"`
	HeapMB                        float64 `json:"heap_mb"`
	Sockets                       float64 `json:"sockets"`
	Threads                       float64 `json:"threads"`
	HeartbeatsPerS                float64 `json:"reports_per_s"`
	HeartbeatsRelayedPerS         float64 `json:"reports_relayed_per_s"`
	HeartbeatsAnsweredLocallyPerS float64 `json:"reports_kept_per_s"`
	UserRequestsPerS              float64 `json:"users_requests_per_s"`
	FramesPerS                    float64 `json:"peer_frames_per_s"`
	PeerBytesPerS                 float64 `json:"peer_bytes_per_s"`
	LogBytesPerS                  float64 `json:"log_bytes_per_s"`
	BatchesPerS                   float64 `json:"log_batches_per_s"`
}

// StoreLoad is what the state service was asked for.
type StoreLoad struct {
	RequestsPerS float64 `json:"requests_per_s"`
	ChangesPerS  float64 `json:"changes_per_s"`
	BytesPerS    float64 `json:"bytes_per_s"`
	Keys         int     `json:"keys"`
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
	HollowCPU    float64 `json:"hollow_cpu"` // of all hollow workers and stand-ins
	HollowMB     float64 `json:"hollow_mb"`
	HollowLagP99 float64 `json:"hollow_lag_p99_ms"`
	Idle         float64 `json:"idle_share"`
	Steal        float64 `json:"steal_share"`
	CPUPerWorker float64 `json:"hollow_cpu_per_worker"`
}

func (l *latencyRecorder) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Latency{
		l.histogram.TotalCount(),
		l.histogram.ValueAtQuantile(50),
		l.histogram.ValueAtQuantile(99),
		l.histogram.Max(),
		l.histogram.Mean(),
	}
}

func perSecond(before, after metricValues, seconds float64, names ...string) (sum float64) {
	for _, n := range names {
		sum += max(0, after[n]-before[n]) / seconds
	}
	return sum
}

// answerCounters names the counters of the answers to a kind of request.
func answerCounters(kind string) (names []string) {
	for _, as := range []string{"ok", "refused", "later"} {
		names = append(names, fmt.Sprintf("fieldhill_answers_total{request=%q,answer=%q}", kind, as))
	}
	return names
}

const bytesPerMB = 1 << 20

func controllerCost(before, after metricValues, seconds float64) ControllerCost {
	rate := func(names ...string) float64 { return perSecond(before, after, seconds, names...) }
	return ControllerCost{
		CPU: rate(
			"process_cpu_seconds_total",
		),
		ResidentMB: after["process_resident_memory_bytes"] / bytesPerMB,
		HeapMB:     after["go_memstats_heap_inuse_bytes"] / bytesPerMB,
		Sockets:    after["process_open_fds"],
		Threads:    after["process_num_threads"],
		HeartbeatsPerS: rate(
			answerCounters("report")...),
		HeartbeatsRelayedPerS:         rate("fieldhill_reports_relayed_total"),
		HeartbeatsAnsweredLocallyPerS: rate("fieldhill_reports_kept_total"),
		UserRequestsPerS: rate(
			append(append(answerCounters("submit"), answerCounters("status")...), answerCounters("cancel")...)...),
		FramesPerS:    rate("fieldhill_peer_frames_total"),
		PeerBytesPerS: rate("fieldhill_peer_bytes_total"),
		LogBytesPerS:  rate("fieldhill_log_bytes_total"),
		BatchesPerS:   rate("fieldhill_log_write_seconds_count"),
	}
}

// fields are a role's figures, for means and maxima.
func (r *ControllerCost) fields() []*float64 {
	return []*float64{
		&r.CPU,
		&r.ResidentMB,
		&r.HeapMB,
		&r.Sockets,
		&r.Threads,
		&r.HeartbeatsPerS,
		&r.HeartbeatsRelayedPerS,
		&r.HeartbeatsAnsweredLocallyPerS,
		&r.UserRequestsPerS,
		&r.FramesPerS,
		&r.PeerBytesPerS,
		&r.LogBytesPerS,
		&r.BatchesPerS,
	}
}

// summarize makes a region's report of what was counted before and after.
func (r *region) summarize(before, after snapshot) Region {
	seconds := after.at.Sub(before.at).Seconds()
	summary := Region{
		StartLatency:     map[string]Latency{},
		Failovers:        map[string]float64{},
		TargetStartsPerS: r.profile.rate(r.index, r.profile.WarmupS+r.profile.RunS/2),
	}
	others := 0.0
	for i, c := range after.controllers {
		if c == nil || before.controllers[i] == nil {
			continue
		}
		cost := controllerCost(before.controllers[i], c, seconds)
		summary.Failovers["terms"] += max(0, c["fieldhill_terms_total"]-before.controllers[i]["fieldhill_terms_total"])
		for k, f := range cost.fields() {
			peak := summary.Peak.fields()[k]
			*peak = max(*peak, *f)
		}
		if c["fieldhill_leads"] == 1 {
			summary.Leader, summary.JobsKnown = cost, int(c["fieldhill_jobs"])
			continue
		}
		others++
		for k, f := range cost.fields() {
			*summary.Others.fields()[k] += *f
		}
	}
	for _, f := range summary.Others.fields() {
		*f /= max(1, others)
	}
	workers := max(1, len(r.environment.Cloud.Workers()))
	summary.Workers.Up, summary.Workers.LostLeas = workers, r.countLostLeases()
	summary.Workers.BytesS = float64(
		after.workerBytes[0]+after.workerBytes[1]-before.workerBytes[0]-before.workerBytes[1],
	) / seconds / float64(
		workers,
	)
	summary.Workers.Sockets = float64(r.network.workers.open.Load()) / float64(workers)
	summary.StartsPerS = float64(after.starts-before.starts) / seconds
	summary.TasksRunning = r.environment.Checker.Tasks()
	summary.Store = StoreLoad{
		RequestsPerS: float64(after.store.Requests-before.store.Requests) / seconds,
		ChangesPerS:  float64(after.store.Changes-before.store.Changes) / seconds,
		BytesPerS:    float64(after.store.Bytes-before.store.Bytes) / seconds,
		Keys:         after.store.Keys,
	}
	for p, l := range r.startLatencies {
		summary.StartLatency[p] = l.summary()
	}
	summary.SubmitLatency = r.submitLatency.summary()
	summary.Accepted, summary.GivenUp = r.accepted.Load(), r.refused.Load()
	return summary
}

// Print writes the table.
func (r *Report) Print(w io.Writer) {
	table := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(
		table,
		"region\trole\tcpu\tresident MB\theap MB\tsockets\tthreads\treports/s\trelayed/s\tkept/s\tusers/s\tframes/s\tpeer KB/s\tlog KB/s\tbatches/s\n",
	)
	for i, g := range r.Regions {
		for _, x := range []struct {
			name string
			r    ControllerCost
		}{{"leader", g.Leader}, {"others", g.Others}, {"most", g.Peak}} {
			fmt.Fprintf(
				table,
				"%d\t%s\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\n",
				i,
				x.name,
				x.r.CPU,
				x.r.ResidentMB,
				x.r.HeapMB,
				x.r.Sockets,
				x.r.Threads,
				x.r.HeartbeatsPerS,
				x.r.HeartbeatsRelayedPerS,
				x.r.HeartbeatsAnsweredLocallyPerS,
				x.r.UserRequestsPerS,
				x.r.FramesPerS,
				x.r.PeerBytesPerS/1024,
				x.r.LogBytesPerS/1024,
				x.r.BatchesPerS,
			)
		}
	}
	fmt.Fprintf(
		table,
		"\nregion\tworkers\tKB/s each\tleases lost\tstarts/s\tasked\trunning\tjobs\turgent p50/p99/max ms\tchurn p50/p99/max ms\tsubmit p99 ms\taccepted\tgiven up\tstate req/s\tchanges/s\n",
	)
	for i, g := range r.Regions {
		urgent, churn := g.StartLatency[urgentClass], g.StartLatency[churnClass]
		fmt.Fprintf(
			table,
			"%d\t%d\t%.2f\t%d\t%.0f\t%.0f\t%d\t%d\t%d/%d/%d\t%d/%d/%d\t%d\t%d\t%d\t%.0f\t%.1f\n",
			i,
			g.Workers.Up,
			g.Workers.BytesS/1024,
			g.Workers.LostLeas,
			g.StartsPerS,
			g.TargetStartsPerS,
			g.TasksRunning,
			g.JobsKnown,
			urgent.P50,
			urgent.P99,
			urgent.Max,
			churn.P50,
			churn.P99,
			churn.Max,
			g.SubmitLatency.P99,
			g.Accepted,
			g.GivenUp,
			g.Store.RequestsPerS,
			g.Store.ChangesPerS,
		)
	}
	machine := r.Machine
	fmt.Fprintf(
		table,
		"\nhollow side: %.2f cores, %.0f MB, timers late by %.1f ms (p99); machine idle %.2f, stolen %.3f\n",
		machine.HollowCPU,
		machine.HollowMB,
		machine.HollowLagP99,
		machine.Idle,
		machine.Steal,
	)
	if r.MachineLimit != "" {
		fmt.Fprintf(table, "THE MACHINE WAS THE LIMIT: %s\n", r.MachineLimit)
	}
	fmt.Fprintf(table, "rules broken: %d\n", len(r.Violations))
	for _, b := range r.Violations {
		fmt.Fprintf(table, "  %s\n", b)
	}
}
