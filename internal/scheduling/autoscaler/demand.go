package autoscaler

import (
	"math"
	"slices"
	"sort"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// demand is a number of tasks with the same requirements that need room on machines.
type demand struct {
	taskResources scheduler.Resources
	types         []int32 // nil: any
	zone          int32   // negative: any
	sameZone      bool    // all tasks must be in one zone; it is chosen when the demand is packed if zone is negative
	spot          bool
	count         int
	service       bool
	priority      model.Priority
	standby       bool    // room for expected arrivals, not waiting work
	headroomCPUs  float64 // CPUs that work below production priority is to leave free for the expected arrivals
	purpose       string  // what the tasks are for; logged
	// maxPriceFactor limits the price per task to this multiple of the price on the cheapest suitable offer; 0: no
	// limit.
	maxPriceFactor float64
	// maxPerZone limits the number of tasks in one zone; 0: no limit. countPerZone is the number of tasks already in
	// each zone.
	maxPerZone   int
	countPerZone map[int32]int
}

// canUse reports whether the constraints allow a task on the machine of a slot, regardless of free resources.
func (d *demand) canUse(s *slot) bool { return (!s.servicesOnly || d.service) && d.allows(s.offer) }

// allows reports whether the constraints allow a task on machines of an offer, regardless of resources.
func (d *demand) allows(o InstanceOffer) bool {
	if d.maxPerZone > 0 && d.countPerZone[o.Zone] >= d.maxPerZone {
		return false
	}
	if o.Spot && !d.spot || d.zone >= 0 && d.zone != o.Zone {
		return false
	}
	return d.types == nil || slices.Contains(d.types, o.Type)
}

// placeTask assigns a task to a slot: it takes the resources of the task from the slot and marks the slot as used.
func (d *demand) placeTask(s *slot) {
	s.free = s.free.Minus(d.taskResources)
	s.used = true
	if d.countPerZone != nil {
		d.countPerZone[s.offer.Zone]++
	}
}

// applySpread sets the limit of tasks per zone for a job that must be spread over zones. Without it, a replica would be
// packed onto free resources in a zone where the scheduler may not place it.
func (d *demand) applySpread(j *model.Job) {
	if !j.Spec.Spread || len(j.Tasks) < 2 {
		return
	}
	d.maxPerZone, d.countPerZone = (len(j.Tasks)+1)/2, map[int32]int{}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			d.countPerZone[r.Machine.Zone]++
		}
	}
}

// demands returns all demand, most urgent first.
func (a *Autoscaler) demands(m *model.Model, jobs []*model.Job, now model.Time) []demand {
	var urgent, low []demand
	expiring, preemptible := runningDemand(m)
	for _, j := range jobs {
		n := j.Placeable() + expiring[j]
		if n == 0 && !isPreemptible(j) || j.Team == nil || j.Cancelled ||
			j.Observed.Faulty && now < j.Scheduling.NotBefore {
			continue // nothing to place now, or a job that does not justify provisioning machines
		}
		n = min(n, remainingTeamQuota(j, preemptible)+expiring[j])
		d := a.jobDemand(m, j, n, now)
		if isPreemptible(j) {
			low = append(low, d)
		} else {
			urgent = append(urgent, d)
		}
	}
	standby := a.standbyDemands(m, jobs, now)
	sort.SliceStable(urgent, func(i, k int) bool { return urgent[i].priority > urgent[k].priority })
	return slices.Concat(urgent, standby, low)
}

// runningDemand returns, by job, the number of gang and service tasks placed on suspect machines, and by team, the
// resources of placed preemptible work. Cancelled jobs are not counted in the former. The tasks on suspect machines
// need other machines once the leases of the suspect ones have expired; the other machines can boot before that.
func runningDemand(m *model.Model) (expiring map[*model.Job]int, preemptible []scheduler.Resources) {
	expiring = map[*model.Job]int{}
	preemptible = make([]scheduler.Resources, len(m.Teams))
	for _, machine := range m.MachinesInOrder {
		for _, r := range machine.Runs {
			if machine.Suspect && r.Job.Kind != model.Array && !r.Job.Cancelled {
				expiring[r.Job]++
			}
			if t := r.Job.Team; t != nil && isPreemptible(r.Job) {
				preemptible[t.Index] = preemptible[t.Index].Plus(scheduler.TaskDemand(r.Job))
			}
		}
	}
	return expiring, preemptible
}

// jobDemand returns a job's demand for the given number of waiting tasks. The demand of preemptible work includes its
// running tasks, since the slots treat their resources as free.
func (a *Autoscaler) jobDemand(m *model.Model, j *model.Job, waiting int, now model.Time) demand {
	d := demand{
		taskResources: scheduler.TaskDemand(j),
		types:         j.Types,
		zone:          j.Zone,
		spot:          j.Spec.Spot,
		count:         waiting,
		service:       j.Kind == model.Service,
		priority:      j.Priority,
		purpose:       "demand of job " + j.Spec.ID,
	}
	d.applySpread(j)
	d.applySameZone(j)
	if j.Kind != model.Array {
		return d
	}
	d.count = min(waiting, a.requiredParallelism(m, j, now))
	d.maxPriceFactor = a.maxPriceFactor(j)
	if isPreemptible(j) {
		d.count += j.PlacedTasks
	}
	return d
}

// remainingTeamQuota returns how many more tasks of a job its team's limit allows. For jobs above low priority, the
// team's low-priority work does not count against the limit: it is preempted once there are machines for the job, so
// these machines must be provisioned even while low-priority work uses up the limit.
func remainingTeamQuota(j *model.Job, preemptible []scheduler.Resources) int {
	const epsilon, unlimited = 1e-6, 1e6
	t, n := j.Team, math.Inf(1)
	var lowPriority scheduler.Resources
	if j.Priority > model.Low {
		lowPriority = preemptible[t.Index]
	}
	if t.CPUsMax > 0 && j.Spec.CPUs > 0 {
		n = min(n, (t.CPUsMax-t.UsedCPUs+lowPriority.CPUs)/j.Spec.CPUs+epsilon)
	}
	if t.GPUsMax > 0 && j.Spec.GPUs > 0 {
		n = min(n, (t.GPUsMax-t.UsedGPUs+lowPriority.GPUs)/j.Spec.GPUs+epsilon)
	}
	if n > unlimited {
		return unlimited
	}
	return max(0, int(n))
}

const (
	// defaultCompletionSeconds is the target time for completing a job that has neither an objective nor a deadline.
	defaultCompletionSeconds = 300
	// completionBudgetShare is the share of the target time within which a job is planned to complete.
	completionBudgetShare = 0.6
	// minTaskSeconds is the lower bound of a task's expected run time; taskOverheadSeconds is added to the run time for
	// placing and starting the task.
	minTaskSeconds, taskOverheadSeconds = 5, 8
	// defaultOnTimeShare is the share of the jobs of a class that must complete within their target time, unless an
	// objective sets a higher share.
	defaultOnTimeShare = 0.75
)

// requiredParallelism returns how many more tasks of an array must run concurrently for the array to complete within
// completionBudgetShare of its target time. If less time is left than one task takes, it returns the number of waiting
// tasks.
func (a *Autoscaler) requiredParallelism(m *model.Model, j *model.Job, now model.Time) int {
	taskSeconds := max(minTaskSeconds, m.ExpectedSeconds(j)) + taskOverheadSeconds
	secondsLeft := a.completionTargetSeconds(j)*completionBudgetShare - (now - j.Observed.KnownSince).Seconds()
	rounds := math.Floor(secondsLeft / taskSeconds)
	if rounds < 1 {
		return j.Waiting()
	}
	return max(0, int(math.Ceil(float64(j.Waiting()+j.PlacedTasks)/rounds))-j.PlacedTasks)
}

// completionTargetSeconds returns the target time for completing a job: the tightest one that the objectives set, or
// else its deadline, or else defaultCompletionSeconds.
func (a *Autoscaler) completionTargetSeconds(j *model.Job) float64 {
	best := math.Inf(1)
	for _, o := range a.Objectives {
		if o.Class != j.Spec.Class {
			continue
		}
		switch {
		case o.Kind == "finished":
			best = min(best, o.WithinS)
		case o.Kind == "deadline" && j.Spec.DeadlineS != nil:
			best = min(best, *j.Spec.DeadlineS)
		}
	}
	if math.IsInf(best, 1) {
		if j.Spec.DeadlineS != nil {
			return *j.Spec.DeadlineS
		}
		return defaultCompletionSeconds
	}
	return best
}

// maxPriceFactor returns the price limit for an array's tasks, as a multiple of the lowest price. The smaller the share
// of jobs that may be late, the higher the limit. Where many jobs may be late, no expensive machines are provisioned.
func (a *Autoscaler) maxPriceFactor(j *model.Job) float64 {
	share := defaultOnTimeShare
	for _, o := range a.Objectives {
		if o.Class == j.Spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	return 1 / max(0.01, 1-share)
}
