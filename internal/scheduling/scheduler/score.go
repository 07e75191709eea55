package scheduler

import (
	"fieldhill/internal/model"
)

// This file is the paper's score and what was added to it.

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
		return fileLocality(0.7*size, size)
	}
	value := fileLocality(0, size)
	if rate := m.TypeOf(machine).FetchGBPerS; rate > 0 {
		value += min(1, (backlogGB+j.Spec.ImageGB)/rate/60)
	}
	return value
}

// score is the paper's: locality weighed against load.
func (s *Scheduler) score(locality, load float64) float64 {
	return locality*s.Params.Beta + load*(1-s.Params.Beta)
}

func load(m *model.Model, machine *model.Machine) float64 {
	t := m.TypeOf(machine)
	if t.CPUs <= 0 {
		return 1
	}
	return min(1, machine.CPUs/t.CPUs)
}

// gpuMismatchPenalty makes machines with GPUs the last choice for work that uses none.
func (s *Scheduler) gpuMismatchPenalty(m *model.Model, j *model.Job, view *machineView) float64 {
	if j.Spec.GPUs > 0 || view.capacity.GPUs == 0 {
		return 0
	}
	if j.Kind == model.Service && s.blocksGPUWork(j, view, true) && !s.blocksGPUWork(j, view, false) {
		return 4 // better one that no gang fits any more
	}
	if j.Kind == model.Service && view.machine.HasImage(j.Image) && !s.gpuDemand.FitsAny(view.capacity) &&
		s.fetchTooLate(m, j, view.machine) {
		// No work needs its GPUs, and elsewhere the service would be late. Low work
		// used to make room here, for which the service then did not come.
		return 0.5
	}
	return 2
}

// fetchTooLate tells whether a job's tasks start later than they are to if a machine has
// to fetch their image.
func (s *Scheduler) fetchTooLate(m *model.Model, j *model.Job, machine *model.Machine) bool {
	within, ok := s.startWithin(j)
	rate := m.TypeOf(machine).FetchGBPerS
	return ok && rate > 0 && j.Spec.ImageGB/rate > within
}
