package statecache

import (
	"strconv"
	"strings"

	"lynxledge/wire"
)

// TerminationBytes returns the number of bytes that a termination adds to a record.
func TerminationBytes(t *Termination) int { return len(encodeTermination(t)) + entrySeparatorBytes }

// encodeTermination encodes machine, task, reason, and the runtime in seconds if it is known.
func encodeTermination(t *Termination) string {
	reason := strings.ReplaceAll(string(t.Reason), " ", "-") // workers may report reasons that this version does not know
	s := string(t.Machine) + " " + string(t.Job)[len(jobPrefix):] + "/" + strconv.Itoa(t.TaskIndex) + " " + reason
	if t.Runtime > 0 {
		s += " " + strconv.FormatFloat(float64(t.Runtime), 'f', 1, 64)
	}
	return s
}

func decodeTermination(s string) (Termination, error) {
	fields := strings.Split(s, " ")
	if len(fields) < 3 {
		return Termination{}, malformed("termination", s, nil)
	}
	job, index, ok := wire.ParseTaskID(wire.TaskID(jobPrefix + fields[1]))
	if !ok {
		return Termination{}, malformed("termination", s, nil)
	}
	t := Termination{Machine: wire.MachineID(fields[0]), Job: job, TaskIndex: index, Reason: wire.ExitReason(fields[2])}
	if len(fields) > 3 {
		runtime, err := strconv.ParseFloat(fields[3], 64)
		if err != nil {
			return t, malformed("termination", s, err)
		}
		t.Runtime = wire.Seconds(runtime)
	}
	return t, nil
}
