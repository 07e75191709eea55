package model

// This file coordinates the start of gang members. A member that has its image waits for the others for at most
// GangWait, and then exits. If another member needs longer than GangWait to fetch the image, the waiting member exits
// first, the gang is stopped, the fetch is aborted and the next attempt fails the same way: a gang of four, with the
// image cached on two of the machines, takes five attempts of 35 s each. So members with a cached image are started
// only when those with long fetches are ready, and a gang whose members failed to start together is not stopped before
// its long fetches have ended.

// IsLongFetch reports whether fetching a job's image on a machine may take longer than gang members with a cached image
// wait for the others. The threshold is half of GangWait, because fetch rates vary by a third.
func (m *Model) IsLongFetch(j *Job, machine *Machine) bool {
	if m.GangWait <= 0 || machine.HasImage(j.Image) {
		return false
	}
	rate := m.TypeOf(machine).FetchGBPerS
	return rate > 0 && j.Spec.ImageGB/rate > m.GangWait.Seconds()/2
}

// mustHoldStart reports whether the start of a gang member must wait for another member's long fetch.
func (m *Model) mustHoldStart(r *Run) bool {
	j := r.Job
	if j.Kind != Gang || len(j.Tasks) < 2 || r.Inherited || !r.Machine.HasImage(j.Image) {
		return false
	}
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o != r && o.Attempt == r.Attempt && o.IsWanted() && o.Phase <= Fetching &&
			m.IsLongFetch(j, o.Machine) {
			return true
		}
	}
	return false
}

// machinesAwaitingMember returns the machines of gang members that are not started yet. Their starts may have been held
// until another member had its image.
func (j *Job) machinesAwaitingMember() (machines []*Machine) {
	if j.Kind != Gang {
		return nil
	}
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o.Phase == Unseen && o.IsWanted() {
			machines = append(machines, o.Machine)
		}
	}
	return machines
}
