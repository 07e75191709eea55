package model

// This file has the members of a gang start together. Each waits for the others once it has its image, for the
// platform's time at most (GangWait), and then exits. Where an image takes longer to fetch than that, a member that has
// it would exit before one that fetches is there, the gang would be stopped, the fetch abandoned, and the next attempt
// would go the same way: one gang of four with images of two members went through five attempts, 35 s each. So a member
// that is there at once is started when those that fetch for long are there; and a gang that failed to start together
// is not stopped before its fetches have ended.

// IsLongFetch tells whether a machine takes so long to fetch a job's image that members of a gang who fetch it, and
// who don't, may not start together: as rates differ by a third, from half of the wait on.
func (m *Model) IsLongFetch(j *Job, machine *Machine) bool {
	if m.GangWait <= 0 || machine.HasImage(j.Image) {
		return false
	}
	rate := m.TypeOf(machine).FetchGBPerS
	return rate > 0 && j.Spec.ImageGB/rate > m.GangWait.Seconds()/2
}

// mustHoldStart tells whether the start of a gang's member waits for others, whose fetch takes long.
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

// machinesAwaitingMember lists the machines of a gang's members whose start may have waited for one that has its
// image now.
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
