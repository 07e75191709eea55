package controller

// newComponents makes all components and connects each with those that it uses.
func newComponents(env *environment) *Controller {
	c := &Controller{environment: env}
	c.loop = &eventLoop{environment: env}
	c.term = &termState{environment: env}
	c.replica = &replica{environment: env}
	c.forward = &forwarder{environment: env}
	c.commits = &commitPipeline{environment: env}
	c.leadership = &leadership{environment: env}
	c.fence = &commitFence{environment: env}
	c.leases = &leaseRenewal{environment: env}
	c.assignments = &relayAssignments{environment: env}
	c.relay = &relayAgent{environment: env}
	c.probes = &probes{environment: env}
	c.dispatch = &commandDispatcher{environment: env}
	c.rounds = &schedulingRounds{environment: env}
	c.provisioning = &provisioning{environment: env}
	c.keepalives = &followerKeepalives{environment: env}
	c.heartbeats = &heartbeats{environment: env}
	c.heartbeatRouter = &heartbeatRouter{environment: env}
	c.zones = &zoneLiveness{environment: env}
	c.health = &machineHealth{environment: env}
	c.intake = &intake{environment: env}
	c.jobStatus = &jobStatus{environment: env}
	c.submissions = &submissions{environment: env}
	c.cancellations = &cancellations{environment: env}
	c.roles = &singletonRoles{environment: env}
	c.explanations = &explanations{environment: env}
	c.readiness = &readiness{environment: env}
	c.telemetry = &telemetry{environment: env}

	c.loop.commits = c.commits
	c.loop.controller = c
	c.loop.forward = c.forward
	c.loop.rounds = c.rounds
	c.loop.term = c.term

	c.replica.keepalives = c.keepalives
	c.replica.leadership = c.leadership
	c.replica.loop = c.loop
	c.replica.term = c.term

	c.forward.replica = c.replica
	c.forward.term = c.term

	c.commits.dispatch = c.dispatch
	c.commits.replica = c.replica
	c.commits.roles = c.roles
	c.commits.term = c.term

	c.leadership.commits = c.commits
	c.leadership.forward = c.forward
	c.leadership.intake = c.intake
	c.leadership.loop = c.loop
	c.leadership.probes = c.probes
	c.leadership.provisioning = c.provisioning
	c.leadership.replica = c.replica
	c.leadership.rounds = c.rounds
	c.leadership.assignments = c.assignments
	c.leadership.term = c.term

	c.fence.loop = c.loop
	c.fence.replica = c.replica
	c.fence.term = c.term

	c.leases.fence = c.fence
	c.leases.loop = c.loop
	c.leases.replica = c.replica
	c.leases.term = c.term

	c.assignments.loop = c.loop
	c.assignments.replica = c.replica
	c.assignments.term = c.term

	c.relay.replica = c.replica
	c.relay.term = c.term

	c.probes.heartbeats = c.heartbeats
	c.probes.loop = c.loop
	c.probes.replica = c.replica
	c.probes.assignments = c.assignments
	c.probes.term = c.term

	c.dispatch.commits = c.commits
	c.dispatch.heartbeats = c.heartbeats
	c.dispatch.loop = c.loop
	c.dispatch.probes = c.probes
	c.dispatch.replica = c.replica
	c.dispatch.assignments = c.assignments
	c.dispatch.term = c.term

	c.rounds.commits = c.commits
	c.rounds.dispatch = c.dispatch
	c.rounds.loop = c.loop
	c.rounds.probes = c.probes
	c.rounds.replica = c.replica
	c.rounds.term = c.term

	c.provisioning.commits = c.commits
	c.provisioning.health = c.health
	c.provisioning.loop = c.loop
	c.provisioning.replica = c.replica
	c.provisioning.roles = c.roles
	c.provisioning.rounds = c.rounds
	c.provisioning.telemetry = c.telemetry
	c.provisioning.term = c.term

	c.keepalives.leases = c.leases
	c.keepalives.replica = c.replica
	c.keepalives.term = c.term

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

	c.heartbeatRouter.heartbeats = c.heartbeats
	c.heartbeatRouter.keepalives = c.keepalives
	c.heartbeatRouter.loop = c.loop
	c.heartbeatRouter.relay = c.relay
	c.heartbeatRouter.replica = c.replica
	c.heartbeatRouter.assignments = c.assignments
	c.heartbeatRouter.term = c.term

	c.zones.keepalives = c.keepalives
	c.zones.loop = c.loop
	c.zones.replica = c.replica
	c.zones.term = c.term

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

	c.intake.commits = c.commits
	c.intake.loop = c.loop
	c.intake.replica = c.replica
	c.intake.term = c.term

	c.jobStatus.commits = c.commits
	c.jobStatus.forward = c.forward
	c.jobStatus.intake = c.intake
	c.jobStatus.loop = c.loop
	c.jobStatus.replica = c.replica
	c.jobStatus.term = c.term

	c.submissions.commits = c.commits
	c.submissions.forward = c.forward
	c.submissions.intake = c.intake
	c.submissions.loop = c.loop
	c.submissions.replica = c.replica
	c.submissions.jobStatus = c.jobStatus
	c.submissions.term = c.term

	c.cancellations.commits = c.commits
	c.cancellations.dispatch = c.dispatch
	c.cancellations.forward = c.forward
	c.cancellations.intake = c.intake
	c.cancellations.loop = c.loop
	c.cancellations.replica = c.replica
	c.cancellations.jobStatus = c.jobStatus
	c.cancellations.term = c.term

	c.roles.commits = c.commits
	c.roles.forward = c.forward
	c.roles.loop = c.loop
	c.roles.provisioning = c.provisioning
	c.roles.replica = c.replica
	c.roles.term = c.term

	c.explanations.forward = c.forward
	c.explanations.loop = c.loop
	c.explanations.probes = c.probes
	c.explanations.provisioning = c.provisioning
	c.explanations.replica = c.replica
	c.explanations.roles = c.roles
	c.explanations.rounds = c.rounds
	c.explanations.jobStatus = c.jobStatus
	c.explanations.term = c.term

	c.readiness.forward = c.forward
	c.readiness.leadership = c.leadership
	c.readiness.replica = c.replica
	c.readiness.term = c.term

	c.telemetry.loop = c.loop
	c.telemetry.replica = c.replica
	c.telemetry.roles = c.roles
	c.telemetry.rounds = c.rounds
	c.telemetry.term = c.term
	return c
}

// requestHandlers joins the components that answer users, agents and health checks (api.Service).
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
