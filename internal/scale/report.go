package scale

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Report is what a run measured. Rates are by second of the measured time.
type Report struct {
	Profile    Profile  `json:"profile"`
	MeasuredS  float64  `json:"measured_s"`
	Regions    []Region `json:"regions"`
	Machine    Machine  `json:"machine"`
	Violations []string `json:"rules_broken"`
	// MachineLimit says why the figures are the machine's and not the service's; "" if they are the service's.
	MachineLimit string `json:"machine_was_the_limit,omitempty"`
}

// Region is what one region did.
type Region struct {
	Leader  ControllerCost `json:"leader"`
	Others  ControllerCost `json:"others"` // the mean of the controllers that do not lead
	Peak    ControllerCost `json:"most"`   // of each figure the largest of any controller
	Store   StoreLoad      `json:"state_service"`
	Workers struct {
		Up         int     `json:"up"`
		BytesS     float64 `json:"bytes_per_s"` // of one worker, both ways, headers included
		Sockets    float64 `json:"sockets"`     // of one worker
		LostLeases int     `json:"leases_lost"`
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

// StoreLoad is what the key-value store was asked for.
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

// Machine is what the run took of the machine it ran on. The hollow side is this process: all hollow workers and
// emulators.
type Machine struct {
	HollowCPU    float64 `json:"hollow_cpu"` // processor seconds a second
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
		Count: l.histogram.TotalCount(),
		P50:   l.histogram.ValueAtQuantile(50),
		P99:   l.histogram.ValueAtQuantile(99),
		Max:   l.histogram.Max(),
		Mean:  l.histogram.Mean(),
	}
}

// perSecond is the rate at which counters grew together; one that was reset by a restart counts as 0.
func perSecond(before, after metricValues, seconds float64, names ...string) (sum float64) {
	for _, name := range names {
		sum += max(0, after[name]-before[name]) / seconds
	}
	return sum
}

// responseCounters names the counters of the responses to some kinds of requests.
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

// controllerCost is the cost of a controller between two readings of its metrics.
func controllerCost(before, after metricValues, seconds float64) ControllerCost {
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

// fields are the figures, for means and maxima.
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

// summarize makes a region's report of what was counted before and after the measurement.
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
		TargetStartsPerS: r.profile.rate(r.index, r.profile.WarmupS+r.profile.RunS/2),
		TasksRunning:     r.environment.Checker.Tasks(),
		StartLatency:     map[string]Latency{},
		SubmitLatency:    r.submitLatency.summary(),
		Accepted:         r.accepted.Load(),
		GivenUp:          r.refused.Load(),
		Failovers:        map[string]float64{},
	}
	summary.addControllers(before.controllers, after.controllers, seconds)
	workers := max(1, len(r.environment.Cloud.Workers()))
	workerBytes := after.workerBytes[0] + after.workerBytes[1] - before.workerBytes[0] - before.workerBytes[1]
	summary.Workers.Up = workers
	summary.Workers.BytesS = float64(workerBytes) / seconds / float64(workers)
	summary.Workers.Sockets = float64(r.network.workers.open.Load()) / float64(workers)
	summary.Workers.LostLeases = r.countLostLeases()
	for class, latencies := range r.startLatencies {
		summary.StartLatency[class] = latencies.summary()
	}
	return summary
}

// addControllers adds what the controllers cost that answered before and after.
func (s *Region) addControllers(before, after []metricValues, seconds float64) {
	others := 0.0
	for i, values := range after {
		if values == nil || before[i] == nil {
			continue
		}
		cost := controllerCost(before[i], values, seconds)
		s.Failovers["terms"] += max(0, values["fieldhill_terms_total"]-before[i]["fieldhill_terms_total"])
		for k, figure := range cost.fields() {
			peak := s.Peak.fields()[k]
			*peak = max(*peak, *figure)
		}
		if values["fieldhill_leads"] == 1 {
			s.Leader, s.JobsKnown = cost, int(values["fieldhill_jobs"])
			continue
		}
		others++
		for k, figure := range cost.fields() {
			*s.Others.fields()[k] += *figure
		}
	}
	for _, figure := range s.Others.fields() {
		*figure /= max(1, others)
	}
}

// The columns of the printed tables.
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

// Print writes the report for people.
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
		r.Machine.HollowCPU, r.Machine.HollowMB, r.Machine.HollowLagP99)
	fmt.Fprintf(&b, "machine idle %.2f, stolen %.3f\n", r.Machine.Idle, r.Machine.Steal)
	if r.MachineLimit != "" {
		fmt.Fprintf(&b, "THE MACHINE WAS THE LIMIT: %s\n", r.MachineLimit)
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
		fmt.Sprintf("%.2f", region.Workers.BytesS/bytesPerKB),
		strconv.Itoa(region.Workers.LostLeases),
		fmt.Sprintf("%.0f", region.StartsPerS),
		fmt.Sprintf("%.0f", region.TargetStartsPerS),
		strconv.Itoa(region.TasksRunning),
		strconv.Itoa(region.JobsKnown),
		quantiles(region.StartLatency[urgentClass]),
		quantiles(region.StartLatency[churnClass]),
		strconv.FormatInt(region.SubmitLatency.P99, 10),
		strconv.FormatInt(region.Accepted, 10),
		strconv.FormatInt(region.GivenUp, 10),
		fmt.Sprintf("%.0f", region.Store.RequestsPerS),
		fmt.Sprintf("%.1f", region.Store.ChangesPerS),
	}
}
