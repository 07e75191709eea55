package model

import "math"

// This file infers the content of the machines' image caches. Heartbeats do not list images, so the cache is derived
// from tasks that have progressed past their fetch.

// cachedImage is an image that is assumed to be in a machine's cache.
type cachedImage struct {
	image    int32
	sizeGB   float64
	lastUsed Time
}

// pendingFetch is an image fetch on a machine, with the number of runs that wait for it.
type pendingFetch struct {
	image       int32
	waitingRuns int32
	sizeGB      float64
}

// countFetch adds a run (delta 1) to the pending fetch of its image, or removes it (delta -1).
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

// TouchImage records that a machine has a job's image. If the images exceed the cache size of the machine's type, the
// least recently used ones are assumed to be evicted.
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

// evictImages drops the least recently used images until the cache is within the limit. It keeps the needed image and
// the images of the machine's runs, even if the cache then stays above the limit.
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

// HasImage reports whether an image is assumed to be in the machine's cache.
func (machine *Machine) HasImage(image int32) bool {
	for i := range machine.cache {
		if machine.cache[i].image == image {
			return true
		}
	}
	return false
}

// FetchBacklog reports whether a machine is fetching the given image, and the total size of all its pending fetches in
// GB.
func (machine *Machine) FetchBacklog(image int32) (fetchingImage bool, totalGB float64) {
	for i := range machine.fetches {
		if p := &machine.fetches[i]; !machine.HasImage(p.image) {
			fetchingImage = fetchingImage || p.image == image
			totalGB += p.sizeGB
		}
	}
	return fetchingImage, totalGB
}
