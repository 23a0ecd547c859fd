package wire

import (
	"fmt"
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

// NewTaskID is the name that workers know a task by.
func NewTaskID(job JobID, index int) TaskID { return TaskID(fmt.Sprintf("%s/%d", job, index)) }

// ParseTaskID is the reverse of TaskName.
func ParseTaskID(s TaskID) (job JobID, index int, ok bool) {
	id, digits, found := strings.Cut(string(s), "/")
	if !found || !ValidJobID(id) || digits == "" || len(digits) > 6 || (digits[0] == '0' && digits != "0") || !onlyDigits(digits) {
		return "", 0, false
	}
	for _, c := range []byte(digits) {
		index = index*10 + int(c-'0')
	}
	return JobID(id), index, index < MaxTasksPerJob
}

// ValidMachineName reports whether s can name a machine in a key of the store.
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
