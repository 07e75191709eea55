package main

import "fieldhill/wire"

// service returns a service that is spread over zones.
func service(id, team string, replicas int, cpus float64) *wire.JobSpec {
	return &wire.JobSpec{
		ID: id, Class: "loadcast", Team: team, Shape: wire.Service, Priority: wire.Production, Tasks: replicas,
		CPUs: cpus, MemoryGB: 2.5, Image: "img-" + id, ImageGB: 0.5, Spread: true,
	}
}

// array returns an array whose tasks run for the given time.
func array(id, team, priority string, tasks int, cpus, seconds float64) *wire.JobSpec {
	return &wire.JobSpec{
		ID: id, Class: "cenik", Team: team, Shape: wire.Array, Priority: priority, Tasks: tasks, CPUs: cpus,
		MemoryGB: 2.9, Image: "img-" + id, ImageGB: 0.5, EstimateS: seconds,
	}
}
