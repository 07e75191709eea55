package wire

// Paths of the admin API, which listens on the operators' address (--operate). It is defined by this service, not by
// the platform, and uses JSON. The schemas in docs/schema are generated from the structs in this file.
const (
	PathAdminJobs  = "/v1/jobs" // followed by a slash, a job id and WhySuffix
	WhySuffix      = "/why"
	PathAdminQueue = "/v1/queue" // query parameters: team, class, reason, most
	PathAdminRoles = "/v1/duties"
)

// RoleList lists the singleton roles and their holders, as known to the controller that responds.
//
//nolint:lll // a struct tag cannot be broken over lines
type RoleList struct {
	Node                  string       `json:"node" jsonschema:"description=the controller that tells"`
	Leader                string       `json:"leader" jsonschema:"description=who places; empty if nobody is known to"`
	Distributed           bool         `json:"spread" jsonschema:"description=duties are held one by one; else the leader does all of it"`
	Roles                 []RoleStatus `json:"duties"`
	UncertainProvisioning []string     `json:"rentals" jsonschema:"description=names of rentals whose fate is not known"`
}

// RoleStatus is one singleton role and its holder.
//
//nolint:lll // a struct tag cannot be broken over lines
type RoleStatus struct {
	Role              string  `json:"duty" jsonschema:"enum=rent,enum=clean"`
	Holder            string  `json:"holder" jsonschema:"description=empty if nobody holds it"`
	Term              uint64  `json:"term"`
	ObservedS         float64 `json:"for_s" jsonschema:"description=seconds since this controller saw it so"`
	LastProgressS     float64 `json:"got_on_s" jsonschema:"description=seconds since it last got on, told by its holder alone; else 0"`
	NoProgressHolders int     `json:"stuck" jsonschema:"description=holders in a row that got nowhere"`
	ReleaseReason     string  `json:"why" jsonschema:"description=why the controller that tells last let it go"`
}

// MaxQueued is the maximum number of jobs in a Queue.
const MaxQueued = 500

// Explanation lists the reasons why tasks of a job are pending, evaluated on one state of the leader.
//
//nolint:lll // a struct tag cannot be broken over lines
type Explanation struct {
	ID          string         `json:"id"`
	State       string         `json:"state" jsonschema:"enum=pending,enum=running,enum=done,enum=withdrawn"`
	LogBatch    uint64         `json:"log" jsonschema:"description=number of the last batch of the log that it knows of"`
	Node        string         `json:"node" jsonschema:"description=the controller that explains"`
	AgeS        float64        `json:"age_s" jsonschema:"description=seconds since that controller last knew the log to its end; 0 for a leader"`
	Waiting     int            `json:"waiting" jsonschema:"description=tasks without a place"`
	Starting    int            `json:"starting" jsonschema:"description=tasks with a place that do not run yet"`
	WillPlace   int            `json:"places" jsonschema:"description=tasks that the next round will place as things are"`
	WillPreempt int            `json:"stops" jsonschema:"description=tasks of others that it will stop for the job"`
	Reasons     []Reason       `json:"reasons"`
	Pairs       [][2]string    `json:"together" jsonschema:"description=pairs of codes of which neither helps alone"`
	Complete    bool           `json:"complete" jsonschema:"description=without all these reasons every waiting task gets a place"`
	Partial     bool           `json:"partial" jsonschema:"description=not all pairs were tried"`
	History     []ReasonPeriod `json:"past" jsonschema:"description=what the scheduler gave as the reason, the present one first"`
}

// Reason is one reason why tasks of a job are pending, and what the next scheduling round would do if this reason did
// not apply.
//
//nolint:lll // a struct tag cannot be broken over lines
type Reason struct {
	Code             string  `json:"code" jsonschema:"description=stable, see docs/WHY.md"`
	Text             string  `json:"text"`
	Binding          bool    `json:"binds" jsonschema:"description=the next round does more for the job without it"`
	PlacedWithout    int     `json:"gains" jsonschema:"description=tasks that it places without it"`
	PreemptedWithout int     `json:"stops" jsonschema:"description=tasks of others that it stops for the job without it"`
	RemainingS       float64 `json:"for_s,omitempty" jsonschema:"description=seconds until it ends where that is known"`
	Count            int     `json:"number,omitempty" jsonschema:"description=of jobs or machines or tasks or failures"`
	First            string  `json:"first,omitempty" jsonschema:"description=the first of them"`
	Unit             string  `json:"of,omitempty" jsonschema:"description=what need and used and limit are"`
	Need             float64 `json:"need,omitempty"`
	Used             float64 `json:"used,omitempty"`
	Limit            float64 `json:"limit,omitempty"`
}

// ReasonPeriod is a pending reason in a job's history, and when it began to apply.
type ReasonPeriod struct {
	Code   string  `json:"code"`
	SinceS float64 `json:"since_s" jsonschema:"description=seconds ago when it began"`
}

// Queue lists jobs with waiting tasks in scheduling order.
type Queue struct {
	Node     string      `json:"node"`
	LogBatch uint64      `json:"log"`
	Jobs     []QueuedJob `json:"jobs"`
	Tasks    int         `json:"tasks" jsonschema:"description=waiting tasks of all that match"`
	More     int         `json:"more" jsonschema:"description=jobs that match and are not listed"`
}

// QueuedJob is a job with waiting tasks, and the reason that the scheduler last recorded for it.
//
//nolint:lll // a struct tag cannot be broken over lines
type QueuedJob struct {
	Position int     `json:"place" jsonschema:"description=in the whole queue from 1; 0: it does not take part at the moment"`
	ID       string  `json:"id"`
	Team     string  `json:"team"`
	Class    string  `json:"class"`
	Priority string  `json:"priority"`
	Waiting  int     `json:"waiting"`
	Reason   string  `json:"reason"`
	Text     string  `json:"text"`
	SinceS   float64 `json:"since_s" jsonschema:"description=seconds for which the reason has held"`
	AgeS     float64 `json:"age_s" jsonschema:"description=seconds since this leader knows the job"`
}

// AdminProblem is the body of an error response of the admin API.
type AdminProblem struct {
	Error string `json:"error"`
}
