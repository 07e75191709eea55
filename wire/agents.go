package wire

// Paths between controllers and agents: a controller takes heartbeats, an agent takes commands.
const (
	PathHeartbeat = "/v1/report"
	PathOrders    = "/orders"
	PathShow      = "/show"
)

// States of a task on its machine.
const (
	TaskFetching      = "pulling"   // its image is being fetched
	TaskWaiting       = "gathering" // for the other members of its gang
	TaskRunning       = "running"
	TaskCheckpointing = "flushing" // it was stopped and saves its progress
	TaskExited        = "exited"   // it is reported until the controller has it forgotten
)

// Causes of a task's exit.
const (
	CauseDone           = "done"
	CauseStopped        = "halted"     // a command stopped it
	CausePeers          = "peers"      // another member of its gang ended
	CauseGangIncomplete = "incomplete" // its gang did not gather in time
	CauseError          = "error"
	CauseNoCapacity     = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
)

// Verbs of commands to an agent.
const (
	Start  = "run"
	Stop   = "kill"
	Forget = "reap" // drops an exited task from the agent's heartbeats
)

// Heartbeat is an agent's account of its machine. It renews the agent's lease, and the state that it carries is
// compared with the replicated one (reconciliation).
type Heartbeat struct {
	Machine string `msgpack:"box"`
	Addr    string `msgpack:"endpoint"` // where the agent takes commands
	Type    string `msgpack:"model"`
	Zone    string `msgpack:"hall"`
	Spot    bool   `msgpack:"loaners"`
	// AgentEpoch grows with each start of the agent and Seq with each heartbeat, so that those which are late or
	// repeated by the network are recognised.
	AgentEpoch uint64 `msgpack:"shift"`
	Seq        uint64 `msgpack:"tick"`
	// FencingToken is the highest that the agent has seen; it takes no commands under a lower one.
	FencingToken uint64 `msgpack:"baton"`
	// NoticeS is when the cloud will reclaim the machine; nil if it gave no notice.
	NoticeS *float64     `msgpack:"recall_s"`
	Tasks   []TaskStatus `msgpack:"pieces"`
}

// TaskStatus is one task in a heartbeat.
type TaskStatus struct {
	Task    string `msgpack:"piece"` // as TaskID spells it
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause,omitempty"` // of an exit
	// Checkpointed says that the progress of an exited task was saved.
	Checkpointed bool `msgpack:"stored,omitempty"`
}

// Command is one order to an agent.
type Command struct {
	Verb    string `msgpack:"verb"` // Start, Stop or Forget
	Task    string `msgpack:"piece"`
	Attempt uint64 `msgpack:"try"`
	// GraceS is how long a stopped task may take to save its progress; nil for commands other than Stop.
	GraceS *float64 `msgpack:"windup_s,omitempty"`
}

// HeartbeatResponse is the answer to a heartbeat that was taken.
type HeartbeatResponse struct {
	FencingToken uint64    `msgpack:"baton"`
	Commands     []Command `msgpack:"orders"`
}

// Redirect is the answer of a controller that sends an agent to another one, or to none in particular.
type Redirect struct {
	Node string `msgpack:"foreman,omitempty"`
}

// Orders is the body of commands that a controller sends without waiting for the next heartbeat. An agent refuses
// them if it has seen a higher fencing token or has another epoch.
type Orders struct {
	FencingToken uint64    `msgpack:"baton"`
	AgentEpoch   uint64    `msgpack:"shift"`
	Commands     []Command `msgpack:"orders"`
}
