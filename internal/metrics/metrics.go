// Package metrics owns a controller's counters and latency histograms, and the page on which Prometheus and operators
// read them. Counting takes no lock that a reader of the page holds for long, and no series is named after a job, class
// or machine, so that the page stays small however large the fleet is.
//
// The names of the series are an interface of people's dashboards and alerts: they stay as they are, also where the
// code uses another term.
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

// Registry holds the counters and histograms of one controller since its process started. Its fields are written by the
// components that they count; the gauges are those of the last Snapshot.
type Registry struct {
	set      *metrics.Set
	snapshot atomic.Pointer[Snapshot]
	requests map[string]*requestMetrics

	// Placed and Stopped count tasks: decisions to start one, and to stop one.
	Placed, Stopped *metrics.Counter
	// Provisioned and ScaledIn count machines, ProvisionRefused the scale-out requests that the cloud refused.
	Provisioned, ProvisionRefused, ScaledIn *metrics.Counter
	// Terms counts the leadership terms of this controller.
	Terms *metrics.Counter
	// Relayed counts the agents' heartbeats that were passed on to the leader and answered by it, AnsweredLocally those
	// that this controller answered itself because the leader did not in time, and Reassigned the agents that it
	// redirected to another controller.
	Relayed, AnsweredLocally, Reassigned *metrics.Counter
	// NotAdmitted counts the new jobs that were refused because this controller was overloaded.
	NotAdmitted *metrics.Counter
	// LogBytes counts what was written into the replicated log.
	LogBytes *metrics.Counter
	// SchedulingRound is how long the scheduler takes for a round, LogWrite how long the key-value store takes for a
	// batch of the log, in seconds.
	SchedulingRound, LogWrite *metrics.PrometheusHistogram

	failovers [candidacy.PhaseCount]*metrics.PrometheusHistogram
}

// requestMetrics are the series of one kind of request.
type requestMetrics struct {
	duration               *metrics.PrometheusHistogram
	ok, refused, retryable *metrics.Counter
}

// Snapshot is the state of a controller when the page is read. What only a leader knows is 0 elsewhere.
type Snapshot struct {
	IsLeader                              bool
	Term, Applied                         uint64
	Jobs, Waiting, Running                int
	Up, Booting, Idle, Suspect, Releasing int // machines
	// WorstClass and WorstTeam say how well the worst served class and team are served, from 0 to 1; how many are below
	// their minimum share is in UnderServedClasses and UnderServedTeams.
	WorstClass, WorstTeam                float64
	UnderServedClasses, UnderServedTeams int
	// HoldsProvisioning and HoldsCompaction say which singleton roles this controller holds, and OpenProvisioning how
	// many scale-out requests have no result yet.
	HoldsProvisioning, HoldsCompaction bool
	OpenProvisioning                   int
	// PeerFrames, PeerBytes and PeerWrites are what was written to other controllers, and AssignedAgents how many
	// agents send their heartbeats to this controller.
	PeerFrames, PeerBytes, PeerWrites int64
	AssignedAgents                    int
}

// bucketBounds are the upper bounds of the histograms' buckets in seconds.
var bucketBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// gauges are the series that show a part of the last snapshot.
var gauges = map[string]func(s *Snapshot) float64{
	"fieldhill_leads":                        func(s *Snapshot) float64 { return boolValue(s.IsLeader) },
	`fieldhill_holds{duty="rent"}`:           func(s *Snapshot) float64 { return boolValue(s.HoldsProvisioning) },
	`fieldhill_holds{duty="clean"}`:          func(s *Snapshot) float64 { return boolValue(s.HoldsCompaction) },
	"fieldhill_peer_frames_total":            func(s *Snapshot) float64 { return float64(s.PeerFrames) },
	"fieldhill_peer_bytes_total":             func(s *Snapshot) float64 { return float64(s.PeerBytes) },
	"fieldhill_peer_writes_total":            func(s *Snapshot) float64 { return float64(s.PeerWrites) },
	"fieldhill_workers_here":                 func(s *Snapshot) float64 { return float64(s.AssignedAgents) },
	"fieldhill_rentals_open":                 func(s *Snapshot) float64 { return float64(s.OpenProvisioning) },
	"fieldhill_term":                         func(s *Snapshot) float64 { return float64(s.Term) },
	"fieldhill_log_applied":                  func(s *Snapshot) float64 { return float64(s.Applied) },
	"fieldhill_jobs":                         func(s *Snapshot) float64 { return float64(s.Jobs) },
	`fieldhill_tasks{state="waiting"}`:       func(s *Snapshot) float64 { return float64(s.Waiting) },
	`fieldhill_tasks{state="placed"}`:        func(s *Snapshot) float64 { return float64(s.Running) },
	`fieldhill_machines{state="up"}`:         func(s *Snapshot) float64 { return float64(s.Up) },
	`fieldhill_machines{state="booting"}`:    func(s *Snapshot) float64 { return float64(s.Booting) },
	`fieldhill_machines{state="idle"}`:       func(s *Snapshot) float64 { return float64(s.Idle) },
	`fieldhill_machines{state="suspect"}`:    func(s *Snapshot) float64 { return float64(s.Suspect) },
	`fieldhill_machines{state="to_be_gone"}`: func(s *Snapshot) float64 { return float64(s.Releasing) },
	`fieldhill_served_worst{of="class"}`:     func(s *Snapshot) float64 { return s.WorstClass },
	`fieldhill_served_worst{of="team"}`:      func(s *Snapshot) float64 { return s.WorstTeam },
	`fieldhill_owed{of="class"}`:             func(s *Snapshot) float64 { return float64(s.UnderServedClasses) },
	`fieldhill_owed{of="team"}`:              func(s *Snapshot) float64 { return float64(s.UnderServedTeams) },
}

// New makes a registry for these kinds of requests, with every series on the page from the beginning.
func New(requestKinds ...string) *Registry {
	set := metrics.NewSet()
	r := &Registry{
		set:              set,
		requests:         make(map[string]*requestMetrics, len(requestKinds)),
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
	for phase := range candidacy.PhaseCount {
		name := `fieldhill_takeover_seconds{part="` + phase.String() + `"}`
		r.failovers[phase] = set.NewPrometheusHistogramExt(name, bucketBounds)
	}
	for _, kind := range requestKinds {
		r.requests[kind] = newRequestMetrics(set, kind)
	}
	r.snapshot.Store(&Snapshot{})
	for name, value := range gauges {
		set.NewGauge(name, func() float64 { return value(r.snapshot.Load()) })
	}
	return r
}

func newRequestMetrics(set *metrics.Set, kind string) *requestMetrics {
	responses := func(outcome string) *metrics.Counter {
		return set.NewCounter(`fieldhill_answers_total{request="` + kind + `",answer="` + outcome + `"}`)
	}
	return &requestMetrics{
		duration:  set.NewPrometheusHistogramExt(`fieldhill_request_seconds{request="`+kind+`"}`, bucketBounds),
		ok:        responses("ok"),
		refused:   responses("refused"),
		retryable: responses("later"),
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// ObserveFailover records that this controller completed a phase of a failover so many seconds after it noticed that
// there was no leader.
func (r *Registry) ObserveFailover(phase candidacy.Phase, seconds float64) {
	r.failovers[phase].Update(seconds)
}

// ObserveRequest counts the response to a request of one of New's kinds, by whether the client may try again.
func (r *Registry) ObserveRequest(kind string, status int, duration time.Duration) {
	request := r.requests[kind]
	request.duration.Update(duration.Seconds())
	switch {
	case status < http.StatusMultipleChoices:
		request.ok.Inc()
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		request.retryable.Inc()
	default:
		request.refused.Inc()
	}
}

// Handler serves all series in Prometheus' text format, and processor profiles. It calls snapshot for each page, which
// reports false if the controller is too busy to take one; the page is then refused rather than shown with old values.
func (r *Registry) Handler(snapshot func() (s Snapshot, ok bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		s, ok := snapshot()
		if !ok {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		r.snapshot.Store(&s)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		r.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	mux.HandleFunc("GET "+ProfilePath, pprof.Profile)
	return mux
}
