package wire

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	jobIDPrefix = "req-"
	// maxJobNumber is the largest number of fifteen digits. A float64 represents every number up to it exactly.
	maxJobNumber = 999_999_999_999_999
)

// ParseJobID returns the number in a job id: jobIDPrefix and six digits, or up to fifteen without a leading zero. It
// returns false if the id is malformed. Each number has exactly one id, so that the service can store the number alone.
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

// TaskID formats the id of a task: the job's id, a slash and the index of the task in the job.
func TaskID(job uint64, task int) string {
	return JobID(job) + "/" + strconv.Itoa(task)
}

// ParseTaskID returns the job number and the task index in a task id, the inverse of TaskID; ok is false if the id is
// malformed.
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
