package scheduler

import (
	"fieldhill/internal/model"
)

// This file implements the score of the DAD paper and its extensions.

const (
	// fetchingPresentShare is the share of an image that counts as present while it is being fetched.
	fetchingPresentShare = 0.7
	// maxFetchSeconds is the fetch time at which the locality penalty for a missing image reaches its maximum.
	maxFetchSeconds = 60

	// gpuPenalty, unneededGPUPenalty and blockedGangPenalty are added to the score of a machine with GPUs for a task
	// without GPUs: gpuPenalty in general, unneededGPUPenalty where no work needs the GPUs and the task would be late
	// elsewhere, and blockedGangPenalty where the task would prevent GPU work from fitting.
	gpuPenalty, unneededGPUPenalty, blockedGangPenalty = 2, 0.5, 4
)

// fileLocality is the locality measure of the paper for one image: about 0 if the image is present, about 1 if it is
// not. The 1 added to the size avoids a division by zero.
func fileLocality(presentBytes, totalBytes float64) float64 {
	missing := totalBytes - presentBytes
	return (missing-presentBytes)/(2*(totalBytes+1)) + 0.5
}

// locality extends the measure of the paper. An image that is being fetched counts as mostly present, so that the score
// stays below the threshold on a loaded machine too. For a missing image the value grows with the time to fetch it,
// including the fetches that share the connection. Without this, a burst of tasks with the same image waits for busy
// machines that have the image and then starts all its fetches on the least loaded machines.
func locality(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	size := j.Spec.ImageGB * 1e9
	if machine.HasImage(j.Image) {
		return fileLocality(size, size)
	}
	fetching, backlogGB := machine.FetchBacklog(j.Image)
	if fetching {
		return fileLocality(fetchingPresentShare*size, size)
	}
	value := fileLocality(0, size)
	if rate := m.TypeOf(machine).FetchGBPerS; rate > 0 {
		value += min(1, (backlogGB+j.Spec.ImageGB)/rate/maxFetchSeconds)
	}
	return value
}

// load returns the fraction of the CPUs of a machine that is in use.
func load(m *model.Model, machine *model.Machine) float64 {
	t := m.TypeOf(machine)
	if t.CPUs <= 0 {
		return 1
	}
	return min(1, machine.CPUs/t.CPUs)
}

// score returns the weighted sum of locality and load that the paper defines. Lower scores are better.
func (p *Params) score(locality, load float64) float64 {
	return locality*p.Beta + load*(1-p.Beta)
}

// scoreOn returns the score of a machine for a job, without penalties.
func (r *round) scoreOn(j *model.Job, machine *model.Machine) float64 {
	return r.params.score(locality(r.model, j, machine), load(r.model, machine))
}

// gpuMismatchPenalty returns the penalty that makes machines with GPUs the last choice for work without GPUs.
func (r *round) gpuMismatchPenalty(j *model.Job, view *machineView) float64 {
	if j.Spec.GPUs > 0 || view.capacity.GPUs == 0 {
		return 0
	}
	if j.Kind == model.Service && r.blocksGPUWork(j, view, true) && !r.blocksGPUWork(j, view, false) {
		return blockedGangPenalty // prefer a machine that is blocked for GPU work already
	}
	if j.Kind == model.Service && view.machine.HasImage(j.Image) && !r.gpuDemand.FitsAny(view.capacity) &&
		r.fetchTooLate(j, view.machine) {
		// No work needs the GPUs, and the service would be late elsewhere. Without the lower penalty, low-priority work
		// would be preempted on this machine for a service that is then placed elsewhere.
		return unneededGPUPenalty
	}
	return gpuPenalty
}

// fetchTooLate reports whether fetching the image of a job on a machine would take longer than the start time limit of
// the job.
func (r *round) fetchTooLate(j *model.Job, machine *model.Machine) bool {
	within, ok := r.params.startWithin(j)
	rate := r.model.TypeOf(machine).FetchGBPerS
	return ok && rate > 0 && j.Spec.ImageGB/rate > within
}

// fetchSeconds returns the time in seconds until a machine has the image of a job, including the fetches that share the
// connection. It is 0 if the image is present.
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

// fetchIdleCost returns the cost, in CPU seconds, of a task that occupies resources while its image is fetched. The
// cost is added to the preemption cost, so that machines that have the image are preferred for preemption unless more
// work is lost there than the fetch costs.
func fetchIdleCost(m *model.Model, j *model.Job, machine *model.Machine) float64 {
	return fetchSeconds(m, j, machine) * max(j.Spec.CPUs, minCostCPUs)
}
