package model

import "math"

// This file infers what images a machine has. Heartbeats don't list images, so the tasks that got theirs show it.

// cachedImage is an image that a machine is thought to have.
type cachedImage struct {
	image    int32
	sizeGB   float64
	lastUsed Time
}

// pendingFetch is an image that runs wait for: how many, and how large it is.
type pendingFetch struct {
	image       int32
	waitingRuns int32
	sizeGB      float64
}

// countFetch counts a run in or out of those that wait for their image.
func (machine *Machine) countFetch(r *Run, delta int32) {
	for i := range machine.fetches {
		if p := &machine.fetches[i]; p.image == r.Job.Image {
			p.sizeGB = r.Job.Spec.ImageGB
			if p.waitingRuns += delta; p.waitingRuns <= 0 {
				machine.fetches[i] = machine.fetches[len(machine.fetches)-1]
				machine.fetches = machine.fetches[:len(machine.fetches)-1]
			}
			return
		}
	}
	if delta > 0 {
		machine.fetches = append(machine.fetches, pendingFetch{r.Job.Image, delta, r.Job.Spec.ImageGB})
	}
}

// TouchImage notes that a machine has a job's image. Where that is more than its cache holds, the images that were
// used longest ago are thought to be evicted.
func (machine *Machine) TouchImage(m *Model, j *Job, now Time) {
	for i := range machine.cache {
		if machine.cache[i].image == j.Image {
			machine.cache[i].lastUsed = now
			return
		}
	}
	machine.cache = append(machine.cache, cachedImage{j.Image, j.Spec.ImageGB, now})
	limit := m.Types[machine.Type].CacheGB
	if !m.Types[machine.Type].Known {
		limit = math.Inf(1)
	}
	machine.evictImages(limit, j.Image)
}

// evictImages drops images until the others fit into a limit, but for one that is needed and those of present runs.
func (machine *Machine) evictImages(limitGB float64, needed int32) {
	cachedGB := 0.0
	for _, c := range machine.cache {
		cachedGB += c.sizeGB
	}
	for cachedGB > limitGB && len(machine.cache) > 1 {
		oldest := -1
		for i, c := range machine.cache {
			if c.image != needed && !machine.usesImage(c.image) &&
				(oldest < 0 || c.lastUsed < machine.cache[oldest].lastUsed) {
				oldest = i
			}
		}
		if oldest < 0 {
			return
		}
		cachedGB -= machine.cache[oldest].sizeGB
		machine.cache = append(machine.cache[:oldest], machine.cache[oldest+1:]...)
	}
}

func (machine *Machine) usesImage(image int32) bool {
	for _, r := range machine.Runs {
		if r.Job.Image == image {
			return true
		}
	}
	return false
}

// HasImage tells whether a machine is thought to have an image.
func (machine *Machine) HasImage(image int32) bool {
	for i := range machine.cache {
		if machine.cache[i].image == image {
			return true
		}
	}
	return false
}

// FetchBacklog tells whether a machine is fetching an image, and how many GB it still
// has to fetch in all.
func (machine *Machine) FetchBacklog(image int32) (fetchingImage bool, totalGB float64) {
	for i := range machine.fetches {
		if p := &machine.fetches[i]; !machine.HasImage(p.image) {
			fetchingImage = fetchingImage || p.image == image
			totalGB += p.sizeGB
		}
	}
	return fetchingImage, totalGB
}
