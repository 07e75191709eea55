package scale

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is the result of a run. Rates are averages over the measured time.
type Report struct {
	Profile    Profile   `json:"profile"`
	MeasuredS  float64   `json:"measured_s"`
	Regions    []Region  `json:"regions"`
	Host       HostUsage `json:"machine"`
	Violations []string  `json:"rules_broken"`
	// HostBottleneck describes why the host limited the run, in which case the report doesn't show what the service can
	// do. It is empty if the host had capacity to spare.
	HostBottleneck string `json:"machine_was_the_limit,omitempty"`
}

// Region holds the measurements of one region in a report.
type Region struct {
	Leader  ControllerCost `json:"leader"`
	Others  ControllerCost `json:"others"` // mean over the controllers other than the leader
	Peak    ControllerCost `json:"most"`   // maximum of each value over all controllers
	Store   StoreLoad      `json:"state_service"`
	Workers struct {
		Up         int     `json:"up"`
		BytesPerS  float64 `json:"bytes_per_s"` // per worker, both directions, headers included
		Sockets    float64 `json:"sockets"`     // per worker
		LostLeases int     `json:"leases_lost"`
	} `json:"workers"`
	StartsPerS       float64            `json:"starts_per_s"`
	TargetStartsPerS float64            `json:"starts_per_s_asked"`
	TasksRunning     int                `json:"tasks_running"`
	JobsKnown        int                `json:"jobs_known"` // by the leader
	StartLatency     map[string]Latency `json:"start_latency_ms"`
	SubmitLatency    Latency            `json:"submit_latency_ms"`
	Accepted         int64              `json:"submissions_accepted"`
	Abandoned        int64              `json:"submissions_given_up"`
	Failovers        map[string]float64 `json:"takeovers"` // key terms: number of leadership terms that began
}

// ControllerCost is the resource usage and the request rates of a controller.
type ControllerCost struct {
	CPU                           float64 `json:"cpu"` // cores
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

// StoreLoad is the load on the key-value store.
type StoreLoad struct {
	RequestsPerS float64 `json:"requests_per_s"`
	ChangesPerS  float64 `json:"changes_per_s"`
	BytesPerS    float64 `json:"bytes_per_s"`
	Keys         int     `json:"keys"`
}

// Latency summarizes a latency distribution, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
	Mean  float64 `json:"mean"`
}

// HostUsage is the load of a run on the machine that it ran on. The hollow values are those of this process, which runs
// all hollow workers and the emulators.
type HostUsage struct {
	HollowCPU      float64 `json:"hollow_cpu"` // cores
	HollowMB       float64 `json:"hollow_mb"`
	HollowLagP99MS float64 `json:"hollow_lag_p99_ms"`
	IdleShare      float64 `json:"idle_share"`
	StealShare     float64 `json:"steal_share"`
	CPUPerWorker   float64 `json:"hollow_cpu_per_worker"`
}

func (l *latencyRecorder) summary() Latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Latency{
		Count: l.histogram.TotalCount(),
		P50:   l.histogram.ValueAtQuantile(50),
		P99:   l.histogram.ValueAtQuantile(99),
		Max:   l.histogram.Max(),
		Mean:  l.histogram.Mean(),
	}
}

// perSecond returns the summed rate of counters. A counter that is lower than before, because a restart has reset it,
// counts as 0.
func perSecond(before, after metricSamples, seconds float64, names ...string) (sum float64) {
	for _, name := range names {
		sum += max(0, after[name]-before[name]) / seconds
	}
	return sum
}

// responseCounters returns the names of the counters of responses to the given kinds of requests.
func responseCounters(kinds ...string) (names []string) {
	for _, kind := range kinds {
		for _, outcome := range []string{"ok", "refused", "later"} {
			names = append(names, fmt.Sprintf("fieldhill_answers_total{request=%q,answer=%q}", kind, outcome))
		}
	}
	return names
}

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// controllerCost computes the cost of a controller from two samples of its metrics.
func controllerCost(before, after metricSamples, seconds float64) ControllerCost {
	rate := func(names ...string) float64 { return perSecond(before, after, seconds, names...) }
	return ControllerCost{
		CPU:                           rate("process_cpu_seconds_total"),
		ResidentMB:                    after["process_resident_memory_bytes"] / bytesPerMB,
		HeapMB:                        after["go_memstats_heap_inuse_bytes"] / bytesPerMB,
		Sockets:                       after["process_open_fds"],
		Threads:                       after["process_num_threads"],
		HeartbeatsPerS:                rate(responseCounters("report")...),
		HeartbeatsRelayedPerS:         rate("fieldhill_reports_relayed_total"),
		HeartbeatsAnsweredLocallyPerS: rate("fieldhill_reports_kept_total"),
		UserRequestsPerS:              rate(responseCounters("submit", "status", "cancel")...),
		FramesPerS:                    rate("fieldhill_peer_frames_total"),
		PeerBytesPerS:                 rate("fieldhill_peer_bytes_total"),
		LogBytesPerS:                  rate("fieldhill_log_bytes_total"),
		BatchesPerS:                   rate("fieldhill_log_write_seconds_count"),
	}
}

// values returns pointers to all fields, to compute means and maxima.
func (c *ControllerCost) values() []*float64 {
	return []*float64{
		&c.CPU,
		&c.ResidentMB,
		&c.HeapMB,
		&c.Sockets,
		&c.Threads,
		&c.HeartbeatsPerS,
		&c.HeartbeatsRelayedPerS,
		&c.HeartbeatsAnsweredLocallyPerS,
		&c.UserRequestsPerS,
		&c.FramesPerS,
		&c.PeerBytesPerS,
		&c.LogBytesPerS,
		&c.BatchesPerS,
	}
}

// summarize computes a region's report from the snapshots before and after the measurement.
func (r *region) summarize(before, after snapshot) Region {
	seconds := after.at.Sub(before.at).Seconds()
	summary := Region{
		Store: StoreLoad{
			RequestsPerS: float64(after.store.Requests-before.store.Requests) / seconds,
			ChangesPerS:  float64(after.store.Changes-before.store.Changes) / seconds,
			BytesPerS:    float64(after.store.Bytes-before.store.Bytes) / seconds,
			Keys:         after.store.Keys,
		},
		StartsPerS:       float64(after.starts-before.starts) / seconds,
		TargetStartsPerS: r.profile.startRate(r.index, r.profile.WarmupS+r.profile.RunS/2),
		TasksRunning:     r.environment.Checker.RunningTaskCount(),
		StartLatency:     map[string]Latency{},
		SubmitLatency:    r.submitLatency.summary(),
		Accepted:         r.accepted.Load(),
		Abandoned:        r.abandoned.Load(),
		Failovers:        map[string]float64{},
	}
	summary.addControllers(before.controllers, after.controllers, seconds)
	workers := max(1, len(r.environment.Cloud.Workers()))
	workerBytes := after.workerBytes[0] + after.workerBytes[1] - before.workerBytes[0] - before.workerBytes[1]
	summary.Workers.Up = workers
	summary.Workers.BytesPerS = float64(workerBytes) / seconds / float64(workers)
	summary.Workers.Sockets = float64(r.network.workerTraffic.open.Load()) / float64(workers)
	summary.Workers.LostLeases = r.countLostLeases()
	for class, latencies := range r.startLatencies {
		summary.StartLatency[class] = latencies.summary()
	}
	return summary
}

// addControllers adds the costs of the controllers whose metrics were read both before and after the measurement.
func (r *Region) addControllers(before, after []metricSamples, seconds float64) {
	others := 0.0
	for i, samples := range after {
		if samples == nil || before[i] == nil {
			continue
		}
		cost := controllerCost(before[i], samples, seconds)
		r.Failovers["terms"] += max(0, samples["fieldhill_terms_total"]-before[i]["fieldhill_terms_total"])
		for k, value := range cost.values() {
			peak := r.Peak.values()[k]
			*peak = max(*peak, *value)
		}
		if samples["fieldhill_leads"] == 1 {
			r.Leader, r.JobsKnown = cost, int(samples["fieldhill_jobs"])
			continue
		}
		others++
		for k, value := range cost.values() {
			*r.Others.values()[k] += *value
		}
	}
	for _, value := range r.Others.values() {
		*value /= max(1, others)
	}
}

// Columns of the printed tables.
var (
	controllerColumns = []string{
		"region", "role", "cpu", "resident MB", "heap MB", "sockets", "threads", "reports/s", "relayed/s", "kept/s",
		"users/s", "frames/s", "peer KB/s", "log KB/s", "batches/s",
	}
	regionColumns = []string{
		"region", "workers", "KB/s each", "leases lost", "starts/s", "asked", "running", "jobs",
		"urgent p50/p99/max ms", "churn p50/p99/max ms", "submit p99 ms", "accepted", "given up", "state req/s",
		"changes/s",
	}
)

// Print writes the report as text tables.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	writeRow(&b, controllerColumns...)
	for i := range r.Regions {
		region := &r.Regions[i]
		writeRow(&b, controllerCells(i, "leader", &region.Leader)...)
		writeRow(&b, controllerCells(i, "others", &region.Others)...)
		writeRow(&b, controllerCells(i, "most", &region.Peak)...)
	}
	b.WriteString("\n")
	writeRow(&b, regionColumns...)
	for i := range r.Regions {
		writeRow(&b, regionCells(i, &r.Regions[i])...)
	}
	fmt.Fprintf(&b, "\nhollow side: %.2f cores, %.0f MB, timers late by %.1f ms (p99); ",
		r.Host.HollowCPU, r.Host.HollowMB, r.Host.HollowLagP99MS)
	fmt.Fprintf(&b, "machine idle %.2f, stolen %.3f\n", r.Host.IdleShare, r.Host.StealShare)
	if r.HostBottleneck != "" {
		fmt.Fprintf(&b, "THE MACHINE WAS THE LIMIT: %s\n", r.HostBottleneck)
	}
	fmt.Fprintf(&b, "rules broken: %d\n", len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintf(&b, "  %s\n", violation)
	}
	table := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	_, err := io.WriteString(table, b.String())
	return errors.Join(err, table.Flush())
}

func writeRow(b *strings.Builder, cells ...string) { b.WriteString(strings.Join(cells, "\t") + "\n") }

func controllerCells(region int, role string, cost *ControllerCost) []string {
	return []string{
		strconv.Itoa(region),
		role,
		fmt.Sprintf("%.3f", cost.CPU),
		fmt.Sprintf("%.0f", cost.ResidentMB),
		fmt.Sprintf("%.0f", cost.HeapMB),
		fmt.Sprintf("%.0f", cost.Sockets),
		fmt.Sprintf("%.0f", cost.Threads),
		fmt.Sprintf("%.0f", cost.HeartbeatsPerS),
		fmt.Sprintf("%.0f", cost.HeartbeatsRelayedPerS),
		fmt.Sprintf("%.1f", cost.HeartbeatsAnsweredLocallyPerS),
		fmt.Sprintf("%.0f", cost.UserRequestsPerS),
		fmt.Sprintf("%.0f", cost.FramesPerS),
		fmt.Sprintf("%.0f", cost.PeerBytesPerS/bytesPerKB),
		fmt.Sprintf("%.1f", cost.LogBytesPerS/bytesPerKB),
		fmt.Sprintf("%.1f", cost.BatchesPerS),
	}
}

func regionCells(index int, region *Region) []string {
	quantiles := func(l Latency) string { return fmt.Sprintf("%d/%d/%d", l.P50, l.P99, l.Max) }
	return []string{
		strconv.Itoa(index),
		strconv.Itoa(region.Workers.Up),
		fmt.Sprintf("%.2f", region.Workers.BytesPerS/bytesPerKB),
		strconv.Itoa(region.Workers.LostLeases),
		fmt.Sprintf("%.0f", region.StartsPerS),
		fmt.Sprintf("%.0f", region.TargetStartsPerS),
		strconv.Itoa(region.TasksRunning),
		strconv.Itoa(region.JobsKnown),
		quantiles(region.StartLatency[urgentClass]),
		quantiles(region.StartLatency[churnClass]),
		strconv.FormatInt(region.SubmitLatency.P99, 10),
		strconv.FormatInt(region.Accepted, 10),
		strconv.FormatInt(region.Abandoned, 10),
		fmt.Sprintf("%.0f", region.Store.RequestsPerS),
		fmt.Sprintf("%.1f", region.Store.ChangesPerS),
	}
}
