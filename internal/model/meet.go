package model

// This file has the members of a gang meet. Each waits for the others once it has its image, for the platform's time at most (GangWait), and
// then exits. Where an image takes longer to fetch than that, a member that has it would exit before one that fetches is there, the
// gang would be stopped, the fetch given up, and the next attempt would go the same way: one gang of four with images of two members went
// through five attempts, 35 s each. So a member that is there at once is told to start when those that fetch for long are there; and a gang
// that failed to meet is not stopped before its fetches have ended.

// LongFetch tells whether a machine takes so long to fetch a job's image that members of a gang who fetch it, and who don't, may not meet: as
// rates differ by a third, from half of the wait on.
func (m *Model) LongFetch(j *Job, mc *Machine) bool {
	if m.GangWait <= 0 || mc.Has(j.Image) {
		return false
	}
	rate := m.TypeOf(mc).FetchGBPerS
	return rate > 0 && j.Spec.ImageGB/rate > m.GangWait.Seconds()/2
}

// holds tells whether the start of a gang's member waits for others, whose fetch takes long.
func (m *Model) holds(r *Run) bool {
	j := r.Job
	if j.Kind != Gang || len(j.Tasks) < 2 || r.Inherited || !r.Machine.Has(j.Image) {
		return false
	}
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o != r && o.Attempt == r.Attempt && o.Wanted() && o.Phase <= Fetching && m.LongFetch(j, o.Machine) {
			return true
		}
	}
	return false
}

// meet lists the machines of a gang's members whose start may have waited for one that has its image now.
func (j *Job) meet() (list []*Machine) {
	if j.Kind != Gang {
		return nil
	}
	for i := range j.Tasks {
		if o := j.Tasks[i].Run; o != nil && o.Phase == Unseen && o.Wanted() {
			list = append(list, o.Machine)
		}
	}
	return list
}
