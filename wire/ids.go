package wire

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	jobIDPrefix = "req-"
	// maxJobNumber is the largest number with fifteen digits, all of which a float64 represents exactly.
	maxJobNumber = 999_999_999_999_999
)

// ParseJobID parses a job id: the prefix and six digits, or more without a leading zero. Each number has exactly one
// id, so that the service can store the number alone.
func ParseJobID(id string) (uint64, bool) {
	s, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || len(s) < 6 || len(s) > 15 || (len(s) > 6 && s[0] == '0') {
		return 0, false
	}
	var n uint64
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + uint64(s[i]-'0')
	}
	return n, n <= maxJobNumber
}

// JobID formats the id of a job, the inverse of ParseJobID.
func JobID(n uint64) string { return fmt.Sprintf("%s%06d", jobIDPrefix, n) }

// TaskID formats the id of a task: its job's id, a slash and its index in the job.
func TaskID(job uint64, task int) string {
	return JobID(job) + "/" + strconv.Itoa(task)
}

// ParseTaskID parses a task id into the job's number and the task's index, the inverse of TaskID.
func ParseTaskID(s string) (job uint64, task int, ok bool) {
	id, t, found := strings.Cut(s, "/")
	if !found {
		return 0, 0, false
	}
	job, ok = ParseJobID(id)
	if !ok {
		return 0, 0, false
	}
	task, err := strconv.Atoi(t)
	if err != nil || task < 0 || task >= MaxTasks {
		return 0, 0, false
	}
	return job, task, true
}
