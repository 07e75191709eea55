// Package stats owns a node's counters and latency histograms, and the page on which an
// operator reads them. Counting takes no lock that a reader of the page holds for long,
// and nothing is named after jobs, classes or machines, so that the page stays small.
package metrics

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fieldhill/internal/replication/candidacy"
)

// Path is where the page is.
const Path = "/metrics"

// ProfilePath is where a processor profile is, for as many seconds as asked for.
const ProfilePath = "/debug/pprof/profile"

// Registry are the counters of one node since it started.
type Registry struct {
	set      *metrics.Set
	snapshot atomic.Pointer[Snapshot]
	requests map[string]*requestMetrics

	Placed, Stopped, Provisioned, ProvisionRefused, ScaledIn, Terms *metrics.Counter
	// Relayed are workers' reports passed on to the leader and answered by it, Kept those that this node answered
	// itself because the leader did not in time, Moved workers that this node sent to another one.
	Relayed, AnsweredLocally, Reassigned *metrics.Counter
	// NotAdmitted are new jobs that were refused because this node was late.
	NotAdmitted *metrics.Counter
	// LogBytes is what was written into the log.
	LogBytes *metrics.Counter
	// SchedulingRound is how long the scheduler takes for a round, Write how long the state
	// service takes for a batch of the log.
	SchedulingRound, LogWrite *metrics.PrometheusHistogram

	failovers [candidacy.PhaseCount]*metrics.PrometheusHistogram
}

// requestMetrics is what is counted of one kind of request.
type requestMetrics struct {
	duration               *metrics.PrometheusHistogram
	ok, refused, retryable *metrics.Counter
}

// Snapshot is how a node stands when the page is read. What only a leader knows is 0 elsewhere.
type Snapshot struct {
	IsLeader                              bool
	Term, Applied                         uint64
	Jobs, Waiting, Running                int
	Up, Booting, Idle, Suspect, Releasing int
	// How well the worst served class and team are, from 0 to 1, and how many are owed (sched's floor).
	WorstClass, WorstTeam                float64
	UnderServedClasses, UnderServedTeams int
	// Whether this node deals with the cloud and cleans up, and how many rentals are under way.
	HoldsProvisioning, HoldsCompaction bool
	OpenProvisioning                   int
	// What was written to other controllers, and how many workers report to the leader itself.
	PeerFrames, PeerBytes, PeerWrites int64
	AssignedAgents                    int
}

// bucketBounds are the upper ends of the histograms' buckets in seconds.
var bucketBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// New makes counters for so many kinds of requests.
func New(kinds ...string) *Registry {
	set := metrics.NewSet()
	s := &Registry{set: set, requests: map[string]*requestMetrics{},
		Placed:           set.NewCounter("fieldhill_tasks_placed_total"),
		Stopped:          set.NewCounter("fieldhill_tasks_stopped_total"),
		Provisioned:      set.NewCounter("fieldhill_machines_rented_total"),
		ProvisionRefused: set.NewCounter("fieldhill_rentals_refused_total"),
		ScaledIn:         set.NewCounter("fieldhill_machines_given_up_total"),
		Terms:            set.NewCounter("fieldhill_terms_total"),
		Relayed:          set.NewCounter("fieldhill_reports_relayed_total"),
		AnsweredLocally:  set.NewCounter("fieldhill_reports_kept_total"),
		Reassigned:       set.NewCounter("fieldhill_workers_moved_total"),
		LogBytes:         set.NewCounter("fieldhill_log_bytes_total"),
		NotAdmitted:      set.NewCounter("fieldhill_jobs_not_admitted_total"),
		SchedulingRound:  set.NewPrometheusHistogramExt("fieldhill_round_seconds", bucketBounds),
		LogWrite:         set.NewPrometheusHistogramExt("fieldhill_log_write_seconds", bucketBounds),
	}
	for p := range candidacy.PhaseCount {
		s.failovers[p] = set.NewPrometheusHistogramExt(
			`fieldhill_takeover_seconds{part="`+p.String()+`"}`,
			bucketBounds,
		)
	}
	for _, k := range kinds {
		responseCounter := func(outcome string) *metrics.Counter {
			return set.NewCounter(`fieldhill_answers_total{request="` + k + `",answer="` + outcome + `"}`)
		}
		s.requests[k] = &requestMetrics{
			duration:  set.NewPrometheusHistogramExt(`fieldhill_request_seconds{request="`+k+`"}`, bucketBounds),
			ok:        responseCounter("ok"),
			refused:   responseCounter("refused"),
			retryable: responseCounter("later"),
		}
	}
	s.snapshot.Store(&Snapshot{})
	for name, f := range map[string]func(v *Snapshot) float64{
		"fieldhill_leads":                        func(v *Snapshot) float64 { return boolValue(v.IsLeader) },
		`fieldhill_holds{duty="rent"}`:           func(v *Snapshot) float64 { return boolValue(v.HoldsProvisioning) },
		`fieldhill_holds{duty="clean"}`:          func(v *Snapshot) float64 { return boolValue(v.HoldsCompaction) },
		"fieldhill_peer_frames_total":            func(v *Snapshot) float64 { return float64(v.PeerFrames) },
		"fieldhill_peer_bytes_total":             func(v *Snapshot) float64 { return float64(v.PeerBytes) },
		"fieldhill_peer_writes_total":            func(v *Snapshot) float64 { return float64(v.PeerWrites) },
		"fieldhill_workers_here":                 func(v *Snapshot) float64 { return float64(v.AssignedAgents) },
		"fieldhill_rentals_open":                 func(v *Snapshot) float64 { return float64(v.OpenProvisioning) },
		"fieldhill_term":                         func(v *Snapshot) float64 { return float64(v.Term) },
		"fieldhill_log_applied":                  func(v *Snapshot) float64 { return float64(v.Applied) },
		"fieldhill_jobs":                         func(v *Snapshot) float64 { return float64(v.Jobs) },
		`fieldhill_tasks{state="waiting"}`:       func(v *Snapshot) float64 { return float64(v.Waiting) },
		`fieldhill_tasks{state="placed"}`:        func(v *Snapshot) float64 { return float64(v.Running) },
		`fieldhill_machines{state="up"}`:         func(v *Snapshot) float64 { return float64(v.Up) },
		`fieldhill_machines{state="booting"}`:    func(v *Snapshot) float64 { return float64(v.Booting) },
		`fieldhill_machines{state="idle"}`:       func(v *Snapshot) float64 { return float64(v.Idle) },
		`fieldhill_machines{state="suspect"}`:    func(v *Snapshot) float64 { return float64(v.Suspect) },
		`fieldhill_served_worst{of="class"}`:     func(v *Snapshot) float64 { return v.WorstClass },
		`fieldhill_served_worst{of="team"}`:      func(v *Snapshot) float64 { return v.WorstTeam },
		`fieldhill_owed{of="class"}`:             func(v *Snapshot) float64 { return float64(v.UnderServedClasses) },
		`fieldhill_owed{of="team"}`:              func(v *Snapshot) float64 { return float64(v.UnderServedTeams) },
		`fieldhill_machines{state="to_be_gone"}`: func(v *Snapshot) float64 { return float64(v.Releasing) },
	} {
		set.NewGauge(name, func() float64 { return f(s.snapshot.Load()) })
	}
	return s
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// ObserveFailover counts how long after it was noticed that there is no leader a part of the takeover by this node
// came.
func (s *Registry) ObserveFailover(part candidacy.Phase, seconds float64) {
	s.failovers[part].Update(seconds)
}

// ObserveRequest counts the answer to a request of a kind that New was told of.
func (s *Registry) ObserveRequest(kind string, status int, duration time.Duration) {
	r := s.requests[kind]
	r.duration.Update(duration.Seconds())
	switch {
	case status < 300:
		r.ok.Inc()
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.retryable.Inc()
	default:
		r.refused.Inc()
	}
}

// Handler answers with all counters in Prometheus' text format. look tells how the node
// stands, unless it is too busy.
func (s *Registry) Handler(snapshot func() (v Snapshot, ok bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		v, ok := snapshot()
		if !ok {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		s.snapshot.Store(&v)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	mux.HandleFunc("GET "+ProfilePath, pprof.Profile)
	return mux
}
