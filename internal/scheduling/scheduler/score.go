package scheduler

import (
	"fieldhill/internal/model"
)

// This file is the paper's score and what was added to it.

const (
	// fetchingPresence is the part of an image that counts as present while it is being fetched.
	fetchingPresence = 0.7
	// worstFetchSeconds is the time to fetch an image that adds the most to a machine's locality.
	worstFetchSeconds = 60

	// Penalties for a machine with GPUs where a task needs none: usually, where no work needs them and the task would
	// be late elsewhere, and where it would take the machine from the last gang that fits.
	gpuPenalty, unneededGPUPenalty, blockedGangPenalty = 2, 0.5, 4
)

// fileLocality is the paper's measure for one image, with the design's guard
// against zero: about 0 when the image is there, about 1 when it is not.
func fileLocality(presentBytes, totalBytes float64) float64 {
	missing := totalBytes - presentBytes
	return (missing-presentBytes)/(2*(totalBytes+1)) + 0.5
}

// locality extends the paper's measure: an image that is being fetched counts as mostly there (it stays below the
// threshold on a loaded machine too), and a missing one is worse the longer its fetch will take with the fetches that
// share the line. Without it, tasks of a burst that needs one image wait for busy holders and then pile their fetches
// on the idlest machines.
func locality(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	size := j.Spec.ImageGB * 1e9
	if machine.HasImage(j.Image) {
		return fileLocality(size, size)
	}
	fetching, backlogGB := machine.FetchBacklog(j.Image)
	if fetching {
		return fileLocality(fetchingPresence*size, size)
	}
	value := fileLocality(0, size)
	if rate := m.TypeOf(machine).FetchGBPerS; rate > 0 {
		value += min(1, (backlogGB+j.Spec.ImageGB)/rate/worstFetchSeconds)
	}
	return value
}

// load is the part of a machine's CPUs that is taken.
func load(m *model.Model, machine *model.Machine) float64 {
	t := m.TypeOf(machine)
	if t.CPUs <= 0 {
		return 1
	}
	return min(1, machine.CPUs/t.CPUs)
}

// score is the paper's: locality weighed against load.
func (p *Params) score(locality, load float64) float64 {
	return locality*p.Beta + load*(1-p.Beta)
}

// scoreOn is the paper's score of a machine for a job.
func (r *round) scoreOn(j *model.Job, machine *model.Machine) float64 {
	return r.params.score(locality(r.model, j, machine), load(r.model, machine))
}

// gpuMismatchPenalty makes machines with GPUs the last choice for work that uses none.
func (r *round) gpuMismatchPenalty(j *model.Job, view *machineView) float64 {
	if j.Spec.GPUs > 0 || view.capacity.GPUs == 0 {
		return 0
	}
	if j.Kind == model.Service && r.blocksGPUWork(j, view, true) && !r.blocksGPUWork(j, view, false) {
		return blockedGangPenalty // better one that no gang fits any more
	}
	if j.Kind == model.Service && view.machine.HasImage(j.Image) && !r.gpuDemand.FitsAny(view.capacity) &&
		r.fetchTooLate(j, view.machine) {
		// No work needs its GPUs, and elsewhere the service would be late. Low-priority work
		// used to make room here, for which the service then did not come.
		return unneededGPUPenalty
	}
	return gpuPenalty
}

// fetchTooLate tells whether a job's tasks start later than they are to if a machine has
// to fetch their image.
func (r *round) fetchTooLate(j *model.Job, machine *model.Machine) bool {
	within, ok := r.params.startWithin(j)
	rate := r.model.TypeOf(machine).FetchGBPerS
	return ok && rate > 0 && j.Spec.ImageGB/rate > within
}

// fetchSeconds is how many seconds a machine takes to have a job's image, with the fetches that share the line; 0: it
// has it.
func fetchSeconds(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	rate := m.TypeOf(machine).FetchGBPerS
	if rate <= 0 || machine.HasImage(j.Image) {
		return 0
	}
	fetching, backlogGB := machine.FetchBacklog(j.Image)
	if !fetching {
		backlogGB += j.Spec.ImageGB
	}
	return backlogGB / rate
}

// fetchIdleCost is what a task of a job costs, in CPU seconds, while its machine fetches its image: its resources are
// taken and it does nothing. It is added to the cost of preempting others, so that room is made where the image is
// unless that undoes more than the fetch takes.
func fetchIdleCost(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	return fetchSeconds(m, j, machine) * max(j.Spec.CPUs, minCostCPUs)
}
