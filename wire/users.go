package wire

// Paths of the user API. A job's own path is PathJobs, a slash and its id; CancelSuffix behind it cancels the job.
const (
	PathJobs     = "/api/jobs"
	PathReady    = "/ready"
	CancelSuffix = "/cancel"
)

// MaxTasks is how many tasks a job may have.
const MaxTasks = 100_000

// Shapes of jobs.
const (
	Array   = "array"  // tasks that run independently of each other
	Gang    = "group"  // tasks that only run all at the same time
	Service = "daemon" // tasks that run until they are cancelled
)

// Priorities of jobs, the highest first.
const (
	Production = "production"
	High       = "high"
	Normal     = "normal"
	Low        = "idle"
)

// States of a job as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobSpec is a submission: one job and what each of its tasks needs.
type JobSpec struct {
	ID       string  `msgpack:"name_id"`
	Class    string  `msgpack:"jobclass"`
	Team     string  `msgpack:"owner"`
	Shape    string  `msgpack:"shape"` // Array, Gang or Service
	Priority string  `msgpack:"rank"`  // Production, High, Normal or Low
	Tasks    int     `msgpack:"pieces"`
	CPUs     float64 `msgpack:"cores"` // of each task, as are GPUs and memory
	GPUs     float64 `msgpack:"gpus"`
	MemoryGB float64 `msgpack:"mem_gb"`
	Image    string  `msgpack:"bundle"`
	ImageGB  float64 `msgpack:"image_gb"`
	// Types are the machine types on which the job may run; empty for any.
	Types []string `msgpack:"models"`
	// Zone is where the job must run; nil for anywhere.
	Zone *string `msgpack:"hall"`
	// SameZone demands one zone for all tasks, Spread that no zone has more than half of them.
	SameZone bool `msgpack:"same_place"`
	Spread   bool `msgpack:"spread"`
	// Spot permits spot instances, which the cloud may reclaim.
	Spot      bool    `msgpack:"loaners"`
	EstimateS float64 `msgpack:"runtime_s"`
	// CheckpointIntervalS is how often a task saves its progress, 0 for never, and CheckpointWriteS how long it takes
	// to do so when it is stopped.
	CheckpointIntervalS float64 `msgpack:"snapshot_s"`
	CheckpointWriteS    float64 `msgpack:"flush_s"`
	// DeadlineS is by when, from the submission on, the job should be over; nil for no deadline.
	DeadlineS *float64 `msgpack:"due_s"`
}

// JobStatus is the answer to every accepted request about a job.
type JobStatus struct {
	ID      string `msgpack:"name_id"`
	State   string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}
