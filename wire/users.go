package wire

// Paths of the user API. The path of a job is PathJobs, a slash and the job's id. A request to that path with
// CancelSuffix appended cancels the job.
const (
	PathJobs     = "/api/jobs"
	PathReady    = "/ready"
	CancelSuffix = "/cancel"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Shapes of jobs.
const (
	Array   = "array"  // independent tasks
	Gang    = "group"  // tasks that must all run at the same time
	Service = "daemon" // tasks that run until the job is cancelled
)

// Priorities of jobs, highest first.
const (
	Production = "production"
	High       = "high"
	Normal     = "normal"
	Low        = "idle"
)

// States of a job as shown to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobSpec is a submission: a job and the resources that each of its tasks needs.
type JobSpec struct {
	ID       string  `msgpack:"name_id"`
	Class    string  `msgpack:"jobclass"`
	Team     string  `msgpack:"owner"`
	Shape    string  `msgpack:"shape"` // Array, Gang or Service
	Priority string  `msgpack:"rank"`  // Production, High, Normal or Low
	Tasks    int     `msgpack:"pieces"`
	CPUs     float64 `msgpack:"cores"` // CPUs, GPUs and MemoryGB are per task
	GPUs     float64 `msgpack:"gpus"`
	MemoryGB float64 `msgpack:"mem_gb"`
	Image    string  `msgpack:"bundle"`
	ImageGB  float64 `msgpack:"image_gb"`
	// Types are the machine types that the job may run on; empty for any.
	Types []string `msgpack:"models"`
	// Zone is the zone that the job must run in; nil for any.
	Zone *string `msgpack:"hall"`
	// SameZone requires all tasks to be in one zone; Spread allows at most half of them in any one zone.
	SameZone bool `msgpack:"same_place"`
	Spread   bool `msgpack:"spread"`
	// Spot allows the job to run on spot instances, which the cloud may reclaim.
	Spot      bool    `msgpack:"loaners"`
	EstimateS float64 `msgpack:"runtime_s"` // expected runtime of a task
	// CheckpointIntervalS is the interval at which a task saves its progress, 0 for never; CheckpointWriteS is the time
	// that a stopped task needs to save its progress.
	CheckpointIntervalS float64 `msgpack:"snapshot_s"`
	CheckpointWriteS    float64 `msgpack:"flush_s"`
	// DeadlineS is the time after submission by which the job should have finished; nil for no deadline.
	DeadlineS *float64 `msgpack:"due_s"`
}

// JobStatus is the body of every successful response about a job.
type JobStatus struct {
	ID      string `msgpack:"name_id"`
	State   string `msgpack:"status"`
	Done    int    `msgpack:"done"`    // number of completed tasks
	Running int    `msgpack:"running"` // number of running tasks
}
