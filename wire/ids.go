package wire

import (
	"strconv"
	"strings"
)

// maxNameBytes is the maximum length of a name. It keeps records that contain names well below
// the store's limits on value sizes.
const maxNameBytes = 128

// JobID is the ID of a job, chosen by its user: "req-" and 6 to 18 digits.
type JobID string

// TaskID identifies a task in messages to and from workers: its job's ID, a slash and its index.
type TaskID string

// MachineID is the name of a machine, chosen by the cloud.
type MachineID string

// Zone is the name of an availability zone.
type Zone string

// TeamName is the name of a team. Quotas apply to teams.
type TeamName string

// ValidJobID reports whether s is a well-formed job ID.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "req-")
	return ok && len(digits) >= 6 && len(digits) <= 18 && onlyDigits(digits)
}

// NewTaskID returns the ID of the task of a job with an index, which starts at 0.
func NewTaskID(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}

// ParseTaskID splits a task's ID into the job's ID and the index; ok is false if id is not valid.
func ParseTaskID(id TaskID) (job JobID, index int, ok bool) {
	jobID, digits, found := strings.Cut(string(id), "/")
	if !found || !ValidJobID(jobID) || digits == "" || len(digits) > 6 || (digits[0] == '0' && digits != "0") || !onlyDigits(digits) {
		return "", 0, false
	}
	for _, c := range []byte(digits) {
		index = index*10 + int(c-'0')
	}
	return JobID(jobID), index, index < MaxTasksPerJob
}

// ValidMachineName reports whether s, the name or the address of a machine, can be part of a
// record or a key in the store.
func ValidMachineName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c == '/' || c >= 0x7f {
			return false
		}
	}
	return true
}

func onlyDigits(s string) bool {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
