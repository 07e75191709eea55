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

// Stats are the counters of one node since it started.
type Stats struct {
	set      *metrics.Set
	view     atomic.Pointer[View]
	requests map[string]*request

	Placed, Stopped, Rented, NotRented, Returned, Terms *metrics.Counter
	// Relayed are workers' reports passed on to the leader and answered by it, Kept those that this node answered itself
	// because the leader did not in time, Moved workers that this node sent to another one.
	Relayed, Kept, Moved *metrics.Counter
	// NotAdmitted are new jobs that were refused because this node was late.
	NotAdmitted *metrics.Counter
	// LogBytes is what was written into the log.
	LogBytes *metrics.Counter
	// Round is how long the scheduler takes for a round, Write how long the state
	// service takes for a batch of the log.
	Round, Write *metrics.PrometheusHistogram

	takeover [candidacy.Parts]*metrics.PrometheusHistogram
}

// request is what is counted of one kind of request.
type request struct {
	took               *metrics.PrometheusHistogram
	ok, refused, later *metrics.Counter
}

// View is how a node stands when the page is read. What only a leader knows is 0 elsewhere.
type View struct {
	Leads                                 bool
	Term, Applied                         uint64
	Jobs, Waiting, Running                int
	Up, Booting, Idle, Suspect, Returning int
	// How well the worst served class and team are, from 0 to 1, and how many are owed (sched's floor).
	WorstClass, WorstTeam  float64
	OwedClasses, OwedTeams int
	// Whether this node deals with the cloud and cleans up, and how many rentals are under way.
	Rents, Cleans bool
	Rentals       int
	// What was written to other controllers, and how many workers report to the leader itself.
	PeerFrames, PeerBytes, PeerWrites int64
	Seats                             int
}

// bounds are the upper ends of the histograms' buckets in seconds.
var bounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// New makes counters for so many kinds of requests.
func New(kinds ...string) *Stats {
	set := metrics.NewSet()
	s := &Stats{set: set, requests: map[string]*request{},
		Placed:      set.NewCounter("fieldhill_tasks_placed_total"),
		Stopped:     set.NewCounter("fieldhill_tasks_stopped_total"),
		Rented:      set.NewCounter("fieldhill_machines_rented_total"),
		NotRented:   set.NewCounter("fieldhill_rentals_refused_total"),
		Returned:    set.NewCounter("fieldhill_machines_given_up_total"),
		Terms:       set.NewCounter("fieldhill_terms_total"),
		Relayed:     set.NewCounter("fieldhill_reports_relayed_total"),
		Kept:        set.NewCounter("fieldhill_reports_kept_total"),
		Moved:       set.NewCounter("fieldhill_workers_moved_total"),
		LogBytes:    set.NewCounter("fieldhill_log_bytes_total"),
		NotAdmitted: set.NewCounter("fieldhill_jobs_not_admitted_total"),
		Round:       set.NewPrometheusHistogramExt("fieldhill_round_seconds", bounds),
		Write:       set.NewPrometheusHistogramExt("fieldhill_log_write_seconds", bounds),
	}
	for p := range candidacy.Parts {
		s.takeover[p] = set.NewPrometheusHistogramExt(`fieldhill_takeover_seconds{part="`+p.String()+`"}`, bounds)
	}
	for _, k := range kinds {
		answers := func(as string) *metrics.Counter {
			return set.NewCounter(`fieldhill_answers_total{request="` + k + `",answer="` + as + `"}`)
		}
		s.requests[k] = &request{took: set.NewPrometheusHistogramExt(`fieldhill_request_seconds{request="`+k+`"}`, bounds),
			ok: answers("ok"), refused: answers("refused"), later: answers("later")}
	}
	s.view.Store(&View{})
	for name, f := range map[string]func(v *View) float64{
		"fieldhill_leads":                        func(v *View) float64 { return one(v.Leads) },
		`fieldhill_holds{duty="rent"}`:           func(v *View) float64 { return one(v.Rents) },
		`fieldhill_holds{duty="clean"}`:          func(v *View) float64 { return one(v.Cleans) },
		"fieldhill_peer_frames_total":            func(v *View) float64 { return float64(v.PeerFrames) },
		"fieldhill_peer_bytes_total":             func(v *View) float64 { return float64(v.PeerBytes) },
		"fieldhill_peer_writes_total":            func(v *View) float64 { return float64(v.PeerWrites) },
		"fieldhill_workers_here":                 func(v *View) float64 { return float64(v.Seats) },
		"fieldhill_rentals_open":                 func(v *View) float64 { return float64(v.Rentals) },
		"fieldhill_term":                         func(v *View) float64 { return float64(v.Term) },
		"fieldhill_log_applied":                  func(v *View) float64 { return float64(v.Applied) },
		"fieldhill_jobs":                         func(v *View) float64 { return float64(v.Jobs) },
		`fieldhill_tasks{state="waiting"}`:       func(v *View) float64 { return float64(v.Waiting) },
		`fieldhill_tasks{state="placed"}`:        func(v *View) float64 { return float64(v.Running) },
		`fieldhill_machines{state="up"}`:         func(v *View) float64 { return float64(v.Up) },
		`fieldhill_machines{state="booting"}`:    func(v *View) float64 { return float64(v.Booting) },
		`fieldhill_machines{state="idle"}`:       func(v *View) float64 { return float64(v.Idle) },
		`fieldhill_machines{state="suspect"}`:    func(v *View) float64 { return float64(v.Suspect) },
		`fieldhill_served_worst{of="class"}`:     func(v *View) float64 { return v.WorstClass },
		`fieldhill_served_worst{of="team"}`:      func(v *View) float64 { return v.WorstTeam },
		`fieldhill_owed{of="class"}`:             func(v *View) float64 { return float64(v.OwedClasses) },
		`fieldhill_owed{of="team"}`:              func(v *View) float64 { return float64(v.OwedTeams) },
		`fieldhill_machines{state="to_be_gone"}`: func(v *View) float64 { return float64(v.Returning) },
	} {
		set.NewGauge(name, func() float64 { return f(s.view.Load()) })
	}
	return s
}

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// Takeover counts how long after it was noticed that there is no leader a part of the takeover by this node came.
func (s *Stats) Takeover(p candidacy.Part, seconds float64) { s.takeover[p].Update(seconds) }

// Answered counts the answer to a request of a kind that New was told of.
func (s *Stats) Answered(kind string, status int, took time.Duration) {
	r := s.requests[kind]
	r.took.Update(took.Seconds())
	switch {
	case status < 300:
		r.ok.Inc()
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		r.later.Inc()
	default:
		r.refused.Inc()
	}
}

// Page answers with all counters in Prometheus' text format. look tells how the node
// stands, unless it is too busy.
func (s *Stats) Page(look func() (v View, ok bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		v, ok := look()
		if !ok {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		s.view.Store(&v)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
	mux.HandleFunc("GET "+ProfilePath, pprof.Profile)
	return mux
}
