// Package metrics holds a controller's counters and latency histograms, and serves them in the Prometheus text format.
// Updating a metric takes no lock that is held for long while the page is served. No label has a job, class or machine
// as its value, so that the size of the page does not grow with the fleet.
//
// Dashboards and alerts depend on the names of the series, so these must not change, even where the code uses other
// terms.
package metrics

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fieldhill/internal/replication/candidacy"
)

// Path is the URL path of the metrics page.
const Path = "/metrics"

// ProfilePath is the URL path of the CPU profile, whose duration is set by the query parameter seconds.
const ProfilePath = "/debug/pprof/profile"

// Registry holds the metrics of one controller since its process started. The instrumented components update the
// counters and histograms; the gauges show the last Snapshot.
type Registry struct {
	set      *metrics.Set
	snapshot atomic.Pointer[Snapshot]
	requests map[string]*requestSeries

	// TasksPlaced and TasksStopped count decisions to start and to stop a task.
	TasksPlaced, TasksStopped *metrics.Counter
	// Provisioned counts the machines that the cloud provisioned, ProvisionRejected the scale-out requests that it
	// rejected, and ScaledIn the machines that were released.
	Provisioned, ProvisionRejected, ScaledIn *metrics.Counter
	// Terms counts the terms in which this controller was the leader.
	Terms *metrics.Counter
	// Relayed counts the agents' heartbeats that this controller forwarded to the leader and that the leader answered,
	// AnsweredLocally the heartbeats that this controller, as a relay, handled in the leader's place because too many
	// were being forwarded, the leader was overloaded, or forwarding failed, and Reassigned the agents that this
	// controller redirected to another one.
	Relayed, AnsweredLocally, Reassigned *metrics.Counter
	// AcceptedIntoLog and AcceptedIntoIntake count new jobs by where they were accepted, and Repeats the submissions of
	// known jobs by where the job was found.
	AcceptedIntoLog, AcceptedIntoIntake *metrics.Counter
	Repeats                             [repeatSourceCount]*metrics.Counter
	// NotAdmitted counts new jobs that were rejected because this controller was overloaded.
	NotAdmitted *metrics.Counter
	// ReapFences counts the direct commands whose fencing token was raised so that agents forget attempts only under a
	// token above those of the attempts' starts, and CommandsRefused the direct commands that agents refused, by
	// reason.
	ReapFences      *metrics.Counter
	CommandsRefused [refusalReasonCount]*metrics.Counter
	// UnexpectedAttempts counts attempts that agents list although, according to the log, they cannot be there.
	UnexpectedAttempts *metrics.Counter
	// LogBytes counts the bytes written to the replicated log.
	LogBytes *metrics.Counter
	// SchedulingRound is the duration of a scheduling round, and LogWrite that of writing a batch of the log to the
	// key-value store, in seconds.
	SchedulingRound, LogWrite *metrics.PrometheusHistogram

	failovers [candidacy.PhaseCount]*metrics.PrometheusHistogram
}

// requestSeries are the series of one kind of request.
type requestSeries struct {
	duration                *metrics.PrometheusHistogram
	ok, rejected, retryable *metrics.Counter
}

// RefusalReason is why an agent refused a direct command.
type RefusalReason int

// Reasons for refused direct commands.
const (
	RefusedToken     RefusalReason = iota // the leader raised the machine's token after it had sent the command
	RefusedLaterTerm                      // the agent has seen a token of a later term
	RefusedEpoch                          // the command was sent for another agent epoch
	RefusedOther                          // the response does not tell
	refusalReasonCount
)

// String returns the value of the label.
func (r RefusalReason) String() string {
	return [refusalReasonCount]string{"token", "later_term", "epoch", "other"}[r]
}

// RepeatSource is where the job of a repeated submission was found.
type RepeatSource int

// Sources of repeated submissions.
const (
	FoundInLog RepeatSource = iota
	FoundInIntake
	repeatSourceCount
)

// String returns the value of the label.
func (s RepeatSource) String() string { return [repeatSourceCount]string{"log", "intake"}[s] }

// Snapshot is the state of a controller when the page is served. Values that only the leader knows are 0 on other
// controllers.
type Snapshot struct {
	IsLeader                              bool
	Term, Applied                         uint64 // leader's term, and position of the last applied log batch
	Jobs, Waiting, Running                int    // Waiting and Running count tasks
	Up, Booting, Idle, Suspect, Releasing int    // number of machines by state
	// WorstClass and WorstTeam are the service levels of the worst-served class and team, from 0 to 1.
	// UnderServedClasses and UnderServedTeams count the classes and teams that get less than their minimum share.
	WorstClass, WorstTeam                float64
	UnderServedClasses, UnderServedTeams int
	// HoldsProvisioning and HoldsCompaction report which singleton roles this controller holds; OpenProvisioning is the
	// number of scale-out requests without a result.
	HoldsProvisioning, HoldsCompaction bool
	OpenProvisioning                   int
	// PeerFrames, PeerBytes and PeerWrites count the frames and bytes sent to other controllers, and the write calls
	// that sent them; AssignedAgents is the number of agents that send their heartbeats to this controller.
	PeerFrames, PeerBytes, PeerWrites int64
	AssignedAgents                    int
}

// bucketBounds are the upper bounds of the histogram buckets in seconds.
var bucketBounds = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// gauges maps each series that shows a value of the last snapshot to the function that returns this value.
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

// New returns a registry for the given kinds of requests. Every series is on the page even before its first update.
func New(requestKinds ...string) *Registry {
	set := metrics.NewSet()
	r := &Registry{
		set:                set,
		requests:           make(map[string]*requestSeries, len(requestKinds)),
		TasksPlaced:        set.NewCounter("fieldhill_tasks_placed_total"),
		TasksStopped:       set.NewCounter("fieldhill_tasks_stopped_total"),
		Provisioned:        set.NewCounter("fieldhill_machines_rented_total"),
		ProvisionRejected:  set.NewCounter("fieldhill_rentals_refused_total"),
		ScaledIn:           set.NewCounter("fieldhill_machines_given_up_total"),
		Terms:              set.NewCounter("fieldhill_terms_total"),
		Relayed:            set.NewCounter("fieldhill_reports_relayed_total"),
		AnsweredLocally:    set.NewCounter("fieldhill_reports_kept_total"),
		Reassigned:         set.NewCounter("fieldhill_workers_moved_total"),
		LogBytes:           set.NewCounter("fieldhill_log_bytes_total"),
		AcceptedIntoLog:    set.NewCounter(`fieldhill_jobs_accepted_total{path="log"}`),
		AcceptedIntoIntake: set.NewCounter(`fieldhill_jobs_accepted_total{path="intake"}`),
		NotAdmitted:        set.NewCounter("fieldhill_jobs_not_admitted_total"),
		ReapFences:         set.NewCounter("fieldhill_reap_fences_total"),
		UnexpectedAttempts: set.NewCounter("fieldhill_unexpected_attempts_total"),
		SchedulingRound:    set.NewPrometheusHistogramExt("fieldhill_round_seconds", bucketBounds),
		LogWrite:           set.NewPrometheusHistogramExt("fieldhill_log_write_seconds", bucketBounds),
	}
	for source := range repeatSourceCount {
		r.Repeats[source] = set.NewCounter(`fieldhill_submissions_repeated_total{found="` + source.String() + `"}`)
	}
	for reason := range refusalReasonCount {
		name := `fieldhill_commands_refused_total{reason="` + reason.String() + `"}`
		r.CommandsRefused[reason] = set.NewCounter(name)
	}
	for phase := range candidacy.PhaseCount {
		name := `fieldhill_takeover_seconds{part="` + phase.String() + `"}`
		r.failovers[phase] = set.NewPrometheusHistogramExt(name, bucketBounds)
	}
	for _, kind := range requestKinds {
		r.requests[kind] = newRequestSeries(set, kind)
	}
	r.snapshot.Store(&Snapshot{})
	for name, value := range gauges {
		set.NewGauge(name, func() float64 { return value(r.snapshot.Load()) })
	}
	return r
}

func newRequestSeries(set *metrics.Set, kind string) *requestSeries {
	newCounter := func(outcome string) *metrics.Counter {
		return set.NewCounter(`fieldhill_answers_total{request="` + kind + `",answer="` + outcome + `"}`)
	}
	return &requestSeries{
		duration:  set.NewPrometheusHistogramExt(`fieldhill_request_seconds{request="`+kind+`"}`, bucketBounds),
		ok:        newCounter("ok"),
		rejected:  newCounter("refused"),
		retryable: newCounter("later"),
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// ObserveFailover records the time from when this controller detected the loss of the leader until it completed a phase
// of the failover.
func (r *Registry) ObserveFailover(phase candidacy.Phase, seconds float64) {
	r.failovers[phase].Update(seconds)
}

// ObserveRequest records the outcome and duration of a request of one of the kinds passed to New. Statuses 429 and 503,
// after which clients retry, are counted separately from other errors.
func (r *Registry) ObserveRequest(kind string, status int, duration time.Duration) {
	request := r.requests[kind]
	request.duration.Update(duration.Seconds())
	switch {
	case status < http.StatusMultipleChoices:
		request.ok.Inc()
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		request.retryable.Inc()
	default:
		request.rejected.Inc()
	}
}

// Handler serves all series in the Prometheus text format, and CPU profiles. It calls snapshot for each page. If the
// controller is too busy to take a snapshot, ok is false, and the response has status 503 instead of outdated values.
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
