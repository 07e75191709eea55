package autoscaler

import (
	"math"
	"slices"
	"sort"

	"fieldhill/internal/model"
	"fieldhill/internal/scheduling/scheduler"
)

// demand is a number of equal tasks that want room.
type demand struct {
	need     scheduler.Resources
	types    []int32 // nil: any
	zone     int32   // below 0: any
	spot     bool
	count    int
	service  bool
	priority model.Priority
	standby  bool   // room to keep free for what is expected, not work
	purpose  string // for the log
	// maxPriceFactor is how many times the cheapest price it is worth; 0: any.
	maxPriceFactor float64
	// maxPerZone is how many may go to one zone, 0: any number; inZone is how many are there already.
	maxPerZone int
	inZone     map[int32]int
}

// canUse tells whether a task may go to a slot's machine, resources apart.
func (d *demand) canUse(s *slot) bool { return (!s.servicesOnly || d.service) && d.allows(s.offer) }

// allows tells whether a task may go to a machine of an offer, resources apart.
func (d *demand) allows(o InstanceOffer) bool {
	if d.maxPerZone > 0 && d.inZone[o.Zone] >= d.maxPerZone {
		return false
	}
	if o.Spot && !d.spot || d.zone >= 0 && d.zone != o.Zone {
		return false
	}
	return d.types == nil || slices.Contains(d.types, o.Type)
}

// placeOn takes a task's resources off a slot.
func (d *demand) placeOn(s *slot) {
	s.free = s.free.Minus(d.need)
	s.used = true
	if d.inZone != nil {
		d.inZone[s.offer.Zone]++
	}
}

// applySpread makes a demand keep its job's spread over zones: without it a second
// replica would count on room in a zone where it may not go.
func (d *demand) applySpread(j *model.Job) {
	if !j.Spec.Spread || len(j.Tasks) < 2 {
		return
	}
	d.maxPerZone, d.inZone = (len(j.Tasks)+1)/2, map[int32]int{}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			d.inZone[r.Machine.Zone]++
		}
	}
}

// demands lists what wants room, most urgent first, and how many CPUs are to be left free for services.
func (a *Autoscaler) demands(m *model.Model, jobs []*model.Job, now model.Time) (all []demand, headroom float64) {
	var urgent, low []demand
	expiring, preemptible := runningDemand(m)
	for _, j := range jobs {
		n := j.Waiting() + expiring[j]
		if n == 0 && !isPreemptible(j) || j.Team == nil || j.Cancelled || j.Observed.Faulty {
			continue // what fails everywhere is worth no machine
		}
		n = min(n, teamAllowance(j, preemptible)+expiring[j])
		d := a.jobDemand(m, j, n, now)
		if isPreemptible(j) {
			low = append(low, d)
		} else {
			urgent = append(urgent, d)
		}
	}
	standby, headroom := a.standbyDemands(m, jobs, now)
	sort.SliceStable(urgent, func(i, k int) bool { return urgent[i].priority > urgent[k].priority })
	return slices.Concat(urgent, standby, low), headroom
}

// runningDemand looks at what runs: what is on suspect machines will want room elsewhere when their leases have
// expired, and machines for it can boot meanwhile; and low-priority work, by team, could give way.
func runningDemand(m *model.Model) (expiring map[*model.Job]int, preemptible []scheduler.Resources) {
	expiring = map[*model.Job]int{}
	preemptible = make([]scheduler.Resources, len(m.Teams))
	for _, machine := range m.Order {
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

// jobDemand is what a job wants with so many of its tasks waiting. Low-priority work counts in full, with what of it
// runs: the slots count its resources as free.
func (a *Autoscaler) jobDemand(m *model.Model, j *model.Job, waiting int, now model.Time) demand {
	d := demand{
		need:     scheduler.TaskDemand(j),
		types:    j.Types,
		zone:     j.Zone,
		spot:     j.Spec.Spot,
		count:    waiting,
		service:  j.Kind == model.Service,
		priority: j.Priority,
		purpose:  "demand of job " + j.Spec.ID,
	}
	d.applySpread(j)
	if j.Kind != model.Array {
		return d
	}
	d.count = min(waiting, a.requiredParallelism(m, j, now))
	d.maxPriceFactor = a.maxPriceFactor(j)
	if isPreemptible(j) {
		d.count += j.Live
	}
	return d
}

// teamAllowance is how many more tasks of a job its team's limit allows. Low-priority work of the
// team is not in the way of what is more urgent: it is preempted once there are
// machines, so they must be provisioned although the limit is full of it.
func teamAllowance(j *model.Job, preemptible []scheduler.Resources) int {
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
	// defaultFinishSeconds is how long a job may take where neither an objective nor a deadline says so.
	defaultFinishSeconds = 300
	// finishShare is the part of that time that planning counts on.
	finishShare = 0.6
	// minTaskSeconds and taskOverheadSeconds are the least that a task takes, and what placing and starting it adds.
	minTaskSeconds, taskOverheadSeconds = 5, 8
	// defaultOnTimeShare is the least share of jobs that are to be on time.
	defaultOnTimeShare = 0.75
)

// requiredParallelism is how many tasks of an array must run at once for it to be done
// within a part of what its objective leaves.
func (a *Autoscaler) requiredParallelism(m *model.Model, j *model.Job, now model.Time) int {
	taskSeconds := max(minTaskSeconds, m.ExpectedSeconds(j)) + taskOverheadSeconds
	left := a.finishWithin(j)*finishShare - (now - j.Observed.KnownSince).Seconds()
	rounds := math.Floor(left / taskSeconds)
	if rounds < 1 {
		return j.Waiting()
	}
	return max(0, int(math.Ceil(float64(j.Waiting()+j.Live)/rounds))-j.Live)
}

// finishWithin is how many seconds a job may take in all by the objectives.
func (a *Autoscaler) finishWithin(j *model.Job) float64 {
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
		return defaultFinishSeconds
	}
	return best
}

// maxPriceFactor is how many times the lowest price a task of an array may cost: the
// fewer may be late by the objectives, the more. Where many may be late, expensive
// machines are not provisioned for them.
func (a *Autoscaler) maxPriceFactor(j *model.Job) float64 {
	share := defaultOnTimeShare
	for _, o := range a.Objectives {
		if o.Class == j.Spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	return 1 / max(0.01, 1-share)
}
