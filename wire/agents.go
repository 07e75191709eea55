package wire

// Paths between controllers and agents. Controllers serve PathHeartbeat; agents serve PathCommands for commands and
// PathProbe, which returns their current state as a heartbeat.
const (
	PathHeartbeat = "/v1/report"
	PathCommands  = "/orders"
	PathProbe     = "/show"
)

// States of a task on its machine.
const (
	TaskFetching      = "pulling"   // the task's image is being fetched
	TaskWaiting       = "gathering" // the task waits for the other tasks of its gang
	TaskRunning       = "running"
	TaskCheckpointing = "flushing" // the task was stopped and is saving its progress
	TaskExited        = "exited"   // reported until the controller sends VerbForget
)

// Causes of a task's exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"     // stopped by a command
	CausePeers          = "peers"      // another task of the gang ended
	CauseGangIncomplete = "incomplete" // the other tasks of the gang did not start in time
	CauseError          = "error"      // the task failed
	CauseNoCapacity     = "no_room"    // the machine lacks the resources
	CauseBusy           = "busy"       // another attempt of the task is on the machine
	CauseUnknown        = "unknown"    // the job is not known
)

// Verbs of commands to an agent.
const (
	VerbStart  = "run"
	VerbStop   = "kill"
	VerbForget = "reap" // drops an exited task from the agent's heartbeats
)

// Heartbeat reports the state of an agent's machine. It renews the agent's lease, and the leader reconciles the task
// states in it with the replicated state.
type Heartbeat struct {
	Machine string `msgpack:"box"`
	Addr    string `msgpack:"endpoint"` // listen address of the agent, for commands
	Type    string `msgpack:"model"`
	Zone    string `msgpack:"hall"`
	Spot    bool   `msgpack:"loaners"`
	// AgentEpoch increases with each start of the agent and Seq with each heartbeat, so that delayed and duplicated
	// heartbeats are detected.
	AgentEpoch uint64 `msgpack:"shift"`
	Seq        uint64 `msgpack:"tick"`
	// FencingToken is the highest token that the agent has seen. The agent rejects commands with a lower token.
	FencingToken uint64 `msgpack:"baton"`
	// ReclaimNoticeS is the time until the cloud reclaims the machine; nil if the cloud has given no notice.
	ReclaimNoticeS *float64     `msgpack:"recall_s"`
	Tasks          []TaskStatus `msgpack:"pieces"`
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string `msgpack:"piece"` // formatted by TaskID
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause,omitempty"` // cause of the exit; empty until the task exits
	// Checkpointed reports whether the progress of an exited task was saved.
	Checkpointed bool `msgpack:"stored,omitempty"`
}

// Command instructs an agent to start, stop or forget a task.
type Command struct {
	Verb    string `msgpack:"verb"` // VerbStart, VerbStop or VerbForget
	Task    string `msgpack:"piece"`
	Attempt uint64 `msgpack:"try"`
	// GraceS is the time within which a stopped task may save its progress; nil for commands other than VerbStop.
	GraceS *float64 `msgpack:"windup_s,omitempty"`
}

// HeartbeatResponse is the response to an accepted heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect is the response that sends an agent to another controller.
type Redirect struct {
	Node string `msgpack:"foreman,omitempty"` // name of the controller; empty: any other controller
}

// CommandBatch is the body of a request that sends commands without waiting for the next heartbeat. An agent rejects
// the request if it has seen a higher fencing token or has another epoch.
type CommandBatch struct {
	FencingToken uint64    `msgpack:"baton"`
	AgentEpoch   uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
