package controller

import (
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/replication/singleton"
)

// newComponents creates all components and sets the dependencies of each. The core components are created in dependency
// order. The others depend on each other in both directions, so they are created first and connected afterwards, by one
// function per component that lists its dependencies.
func newComponents(env *environment) *Controller {
	c := &Controller{environment: env}
	makeCore(c)
	makeAgentSide(c)
	makeUserSide(c)
	connectCore(c)
	connectLeases(c)
	connectAssignments(c)
	connectRelay(c)
	connectProbes(c)
	connectDispatch(c)
	connectRounds(c)
	connectProvisioning(c)
	connectKeepalives(c)
	connectHeartbeats(c)
	connectHeartbeatRouter(c)
	connectZones(c)
	connectHealth(c)
	connectIntake(c)
	connectJobStatus(c)
	connectSubmissions(c)
	connectCancellations(c)
	connectRoles(c)
	connectExplanations(c)
	connectReadiness(c)
	connectTelemetry(c)
	return c
}

// makeCore creates the event loop, the replicated state, and leadership.
func makeCore(c *Controller) {
	env := c.environment
	c.loop = newEventLoop(env)
	c.term = &termState{environment: env}
	c.replica = newReplica(env, c.loop, c.term)
	c.forward = newForwarder(env, c.replica, c.term)
	c.commits = newCommitPipeline(env, c.replica, c.term)
	c.fence = newCommitFence(env, c.loop, c.replica, c.term)
	c.leadership = newLeadership(env, c.loop, c.term, c.replica, c.forward, c.commits)
}

// connectCore sets the callbacks and interfaces through which the core calls components that depend on it.
func connectCore(c *Controller) {
	c.loop.handler = c
	c.replica.onReset = func() {
		// The keys are machine IDs of the discarded model. The entries of machines that are removed from the log before
		// it is reloaded are not needed any more.
		c.keepalives.clearedMachines = clearedMachines{}
	}
	c.commits.afterCommit = c.dispatch.sendCommitted
	c.commits.compactsLog = func() bool { return !c.roles.rolesDistributed() }
	c.leadership.components = &leaderComponents{
		rounds:       c.rounds,
		provisioning: c.provisioning,
		heartbeats:   c.heartbeats,
		assignments:  c.assignments,
		probes:       c.probes,
		intake:       c.intake,
	}
}

// makeAgentSide creates the components that deal with agents, machines and the cloud, and leaves their dependencies
// unset.
func makeAgentSide(c *Controller) {
	env := c.environment
	sockets, maxConns := env.settings.Params.Limits.MaxSockets, env.connLimiter.MaxConns
	c.leases = &leaseRenewal{environment: env, renewals: lease.NewRenewalTable(env.now())}
	c.assignments = &relayAssignments{environment: env, spreadThreshold: maxConns * 3 / 4}
	c.relay = &relayAgent{environment: env, state: newRelayState(maxConns, sockets)}
	c.probes = &probes{
		environment:       env,
		maxZoneProbes:     zoneProbeLimit(sockets, len(env.settings.Params.Zones)),
		maxFollowUpProbes: followUpProbeLimit(sockets),
	}
	commands := &commandLog{environment: env, replica: c.replica, term: c.term}
	c.dispatch = &commandDispatcher{environment: env, commandLog: commands}
	c.rounds = &schedulingRounds{environment: env}
	c.provisioning = &provisioning{environment: env}
	c.keepalives = &followerKeepalives{environment: env, noRedirectUntil: map[string]time.Time{}}
	c.heartbeats = &heartbeats{environment: env, commandLog: commands}
	c.heartbeatRouter = &heartbeatRouter{environment: env}
	c.zones = &zoneLiveness{environment: env}
	c.health = &machineHealth{environment: env}
}

// makeUserSide creates the components that deal with jobs, users and operators, and leaves their dependencies unset.
func makeUserSide(c *Controller) {
	env := c.environment
	writeRPS := env.settings.Params.KVStore.WriteRPS
	c.intake = &intake{environment: env, limiter: newIntakeLimiter(writeRPS, len(env.settings.Members)+1)}
	c.jobStatus = &jobStatus{environment: env}
	c.submissions = &submissions{environment: env}
	c.cancellations = &cancellations{environment: env}
	c.roles = &singletonRoles{environment: env}
	c.explanations = &explanations{environment: env}
	c.readiness = &readiness{environment: env}
	c.telemetry = &telemetry{environment: env}
	if env.options.SingletonRoles {
		c.roles.state = newRoleState(env.settings.Node)
	}
}

// Each function below sets the dependencies of one component.

func connectLeases(c *Controller) {
	c.leases.fence = c.fence
	c.leases.loop = c.loop
	c.leases.replica = c.replica
	c.leases.term = c.term
}

func connectAssignments(c *Controller) {
	c.assignments.loop = c.loop
	c.assignments.replica = c.replica
	c.assignments.term = c.term
}

func connectRelay(c *Controller) {
	c.relay.replica = c.replica
	c.relay.term = c.term
}

func connectProbes(c *Controller) {
	c.probes.heartbeats = c.heartbeats
	c.probes.loop = c.loop
	c.probes.replica = c.replica
	c.probes.assignments = c.assignments
	c.probes.term = c.term
}

func connectDispatch(c *Controller) {
	c.dispatch.commits = c.commits
	c.dispatch.heartbeats = c.heartbeats
	c.dispatch.loop = c.loop
	c.dispatch.probes = c.probes
	c.dispatch.replica = c.replica
	c.dispatch.assignments = c.assignments
	c.dispatch.term = c.term
}

func connectRounds(c *Controller) {
	c.rounds.commits = c.commits
	c.rounds.dispatch = c.dispatch
	c.rounds.loop = c.loop
	c.rounds.probes = c.probes
	c.rounds.replica = c.replica
	c.rounds.term = c.term
}

func connectProvisioning(c *Controller) {
	c.provisioning.commits = c.commits
	c.provisioning.health = c.health
	c.provisioning.loop = c.loop
	c.provisioning.replica = c.replica
	c.provisioning.roles = c.roles
	c.provisioning.rounds = c.rounds
	c.provisioning.telemetry = c.telemetry
	c.provisioning.term = c.term
}

func connectKeepalives(c *Controller) {
	c.keepalives.leases = c.leases
	c.keepalives.replica = c.replica
	c.keepalives.term = c.term
}

func connectHeartbeats(c *Controller) {
	c.heartbeats.commits = c.commits
	c.heartbeats.dispatch = c.dispatch
	c.heartbeats.keepalives = c.keepalives
	c.heartbeats.leadership = c.leadership
	c.heartbeats.leases = c.leases
	c.heartbeats.loop = c.loop
	c.heartbeats.probes = c.probes
	c.heartbeats.provisioning = c.provisioning
	c.heartbeats.replica = c.replica
	c.heartbeats.assignments = c.assignments
	c.heartbeats.term = c.term
}

func connectHeartbeatRouter(c *Controller) {
	c.heartbeatRouter.heartbeats = c.heartbeats
	c.heartbeatRouter.keepalives = c.keepalives
	c.heartbeatRouter.loop = c.loop
	c.heartbeatRouter.relay = c.relay
	c.heartbeatRouter.replica = c.replica
	c.heartbeatRouter.assignments = c.assignments
	c.heartbeatRouter.term = c.term
}

func connectZones(c *Controller) {
	c.zones.keepalives = c.keepalives
	c.zones.loop = c.loop
	c.zones.replica = c.replica
	c.zones.term = c.term
}

func connectHealth(c *Controller) {
	c.health.commits = c.commits
	c.health.heartbeats = c.heartbeats
	c.health.leases = c.leases
	c.health.loop = c.loop
	c.health.probes = c.probes
	c.health.provisioning = c.provisioning
	c.health.replica = c.replica
	c.health.rounds = c.rounds
	c.health.term = c.term
	c.health.zones = c.zones
}

func connectIntake(c *Controller) {
	c.intake.commits = c.commits
	c.intake.loop = c.loop
	c.intake.replica = c.replica
	c.intake.term = c.term
}

func connectJobStatus(c *Controller) {
	c.jobStatus.commits = c.commits
	c.jobStatus.forward = c.forward
	c.jobStatus.intake = c.intake
	c.jobStatus.loop = c.loop
	c.jobStatus.replica = c.replica
	c.jobStatus.term = c.term
}

func connectSubmissions(c *Controller) {
	c.submissions.commits = c.commits
	c.submissions.forward = c.forward
	c.submissions.intake = c.intake
	c.submissions.loop = c.loop
	c.submissions.replica = c.replica
	c.submissions.jobStatus = c.jobStatus
	c.submissions.term = c.term
}

func connectCancellations(c *Controller) {
	c.cancellations.commits = c.commits
	c.cancellations.dispatch = c.dispatch
	c.cancellations.forward = c.forward
	c.cancellations.intake = c.intake
	c.cancellations.loop = c.loop
	c.cancellations.replica = c.replica
	c.cancellations.jobStatus = c.jobStatus
	c.cancellations.term = c.term
}

func connectRoles(c *Controller) {
	c.roles.commits = c.commits
	c.roles.forward = c.forward
	c.roles.loop = c.loop
	c.roles.provisioning = c.provisioning
	c.roles.replica = c.replica
	c.roles.term = c.term
}

func connectExplanations(c *Controller) {
	c.explanations.forward = c.forward
	c.explanations.loop = c.loop
	c.explanations.probes = c.probes
	c.explanations.provisioning = c.provisioning
	c.explanations.replica = c.replica
	c.explanations.roles = c.roles
	c.explanations.rounds = c.rounds
	c.explanations.jobStatus = c.jobStatus
	c.explanations.term = c.term
}

func connectReadiness(c *Controller) {
	c.readiness.forward = c.forward
	c.readiness.leadership = c.leadership
	c.readiness.loop = c.loop
	c.readiness.replica = c.replica
	c.readiness.term = c.term
}

func connectTelemetry(c *Controller) {
	c.telemetry.loop = c.loop
	c.telemetry.replica = c.replica
	c.telemetry.roles = c.roles
	c.telemetry.rounds = c.rounds
	c.telemetry.term = c.term
}

// newRelayState returns the state of a relay, with limits on the heartbeats, direct commands and probes that it
// forwards concurrently.
func newRelayState(connections, sockets int) *relayState {
	limit := relayedLimit(connections)
	return &relayState{
		reports:  make(slots, limit),
		commands: make(slots, limit),
		probes:   make(slots, relayedProbeLimit(sockets)),
	}
}

// newRoleState returns the state of a controller that takes part in the singleton roles and holds none yet.
func newRoleState(node string) *roleState {
	state := &roleState{participants: map[string]bool{}}
	for i := range state.roles {
		name := singleton.RoleName(i)
		state.roles[i] = singleton.New(name, node, singleton.DefaultRules(name))
	}
	return state
}

// requestHandlers combines the components that answer users, agents and health checks into an api.Service.
type requestHandlers struct {
	*submissions
	*jobStatus
	*cancellations
	*heartbeatRouter
	*readiness
}

func (c *Controller) requestHandlers() requestHandlers {
	return requestHandlers{c.submissions, c.jobStatus, c.cancellations, c.heartbeatRouter, c.readiness}
}
