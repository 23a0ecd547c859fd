package wire

import (
	"strconv"
	"strings"
)

// maxNameBytes is the largest length of a name, in bytes. It keeps records that contain
// names well below any limit of the store's values.
const maxNameBytes = 128

// JobID is the id of a job, which its user chose: "req-" and 6 to 18 digits.
type JobID string

// TaskID is the name by which workers know a task: its job's id, a slash and its index.
type TaskID string

// MachineID is the name of a machine, which the cloud chose.
type MachineID string

// Zone is the name of an availability zone.
type Zone string

// TeamName is the name of a team, to which quotas apply.
type TeamName string

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "req-")
	return ok && len(digits) >= 6 && len(digits) <= 18 && onlyDigits(digits)
}

// NewTaskID returns the id of the task with an index, counted from 0, of a job.
func NewTaskID(job JobID, index int) TaskID {
	return TaskID(string(job) + "/" + strconv.Itoa(index))
}

// ParseTaskID returns the job and the index that NewTaskID made the id of; ok is false if it
// can't have made it.
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

// ValidMachineName reports whether s can stand for a machine in a record or a key of the
// store. It applies to addresses of machines too.
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
