package statecache

import (
	"errors"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// jobPrefix is the prefix of all job IDs. Stored entries omit it.
const jobPrefix = "req-"

// emptyField stands for a field without a value.
const emptyField = "-"

// Flags of a machine's entry.
const (
	suspectedFlag   = 'q'
	terminatingFlag = 'c'
)

// machineFields is the number of fields of an entry before its bindings.
const machineFields = 5

// encode encodes the machine's entry in its group's record: name, address, incarnation, fencing
// token, flags and drain reason, and the bindings, separated by spaces. It omits what the affixes
// hold. Tokens are written in base 36.
func (m *Machine) encode(a affixes) string {
	s := make([]byte, 0, 64+24*len(m.Bindings))
	s = append(s, string(m.Name)[len(a.Name):]...)
	s = append(s, ' ')
	if m.Address == "" {
		s = append(s, emptyField...)
	} else {
		s = append(s, m.Address[len(a.Address):len(m.Address)-len(a.Port)]...)
	}
	s = append(s, ' ')
	s = strconv.AppendUint(s, m.Incarnation, 10)
	s = append(s, ' ')
	s = strconv.AppendUint(s, m.FencingToken-a.TokenBase, 36)
	s = append(s, ' ')
	s = m.appendStatus(s)
	for i := range m.Bindings {
		s = append(s, ' ')
		s = m.Bindings[i].appendTo(s, m.FencingToken)
	}
	return string(s)
}

// appendStatus appends the flags and the drain reason.
func (m *Machine) appendStatus(s []byte) []byte {
	start := len(s)
	if m.Suspected {
		s = append(s, suspectedFlag)
	}
	if m.Terminating {
		s = append(s, terminatingFlag)
	}
	if m.DrainReason != "" {
		s = append(s, ':')
		s = append(s, strings.ReplaceAll(m.DrainReason, " ", "-")...)
	}
	if len(s) == start {
		s = append(s, emptyField...)
	}
	return s
}

// appendTo appends the binding: its task, its attempt, and if it is to be stopped, its stop token
// and grace period. Attempt and stop token are written as their distance from the machine's token.
func (b *TaskBinding) appendTo(s []byte, machineToken uint64) []byte {
	s = append(s, string(b.Job)[len(jobPrefix):]...)
	s = append(s, '/')
	s = strconv.AppendInt(s, int64(b.TaskIndex), 10)
	s = append(s, '.')
	s = strconv.AppendUint(s, machineToken-b.Attempt, 36)
	if b.StopToken > 0 {
		s = append(s, '!')
		s = strconv.AppendUint(s, machineToken-b.StopToken, 36)
		s = append(s, ',')
		s = strconv.AppendInt(s, int64(b.GraceSeconds), 10)
	}
	return s
}

// decodeMachine decodes a machine's entry.
func decodeMachine(entry string, a affixes) (*Machine, error) {
	fields := strings.Split(entry, " ")
	if len(fields) < machineFields {
		return nil, malformed("machine", entry, nil)
	}
	m := &Machine{Name: wire.MachineID(a.Name + fields[0]), encoded: entry}
	if fields[1] != emptyField {
		m.Address = a.Address + fields[1] + a.Port
	}
	var err, tokenErr error
	m.Incarnation, err = strconv.ParseUint(fields[2], 10, 64)
	m.FencingToken, tokenErr = strconv.ParseUint(fields[3], 36, 64)
	if err = errors.Join(err, tokenErr); err != nil {
		return nil, malformed("machine", entry, err)
	}
	m.FencingToken += a.TokenBase
	if fields[4] != emptyField {
		flags, drain, _ := strings.Cut(fields[4], ":")
		m.Suspected, m.Terminating, m.DrainReason = strings.ContainsRune(flags, suspectedFlag), strings.ContainsRune(flags, terminatingFlag), drain
	}
	if len(fields) > machineFields {
		m.Bindings = make([]TaskBinding, len(fields)-machineFields)
	}
	for i, field := range fields[machineFields:] {
		if m.Bindings[i], err = decodeBinding(field, m.FencingToken); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func decodeBinding(field string, machineToken uint64) (TaskBinding, error) {
	task, rest, _ := strings.Cut(field, ".")
	job, index, ok := wire.ParseTaskID(wire.TaskID(jobPrefix + task))
	if !ok {
		return TaskBinding{}, malformed("binding", field, nil)
	}
	attempt, stop, stopped := strings.Cut(rest, "!")
	distance, err := strconv.ParseUint(attempt, 36, 64)
	b := TaskBinding{Job: job, TaskIndex: index, Attempt: machineToken - distance}
	if stopped && err == nil {
		token, grace, _ := strings.Cut(stop, ",")
		if distance, err = strconv.ParseUint(token, 36, 64); err == nil {
			b.StopToken = machineToken - distance
			b.GraceSeconds, err = strconv.Atoi(grace)
		}
	}
	if err != nil {
		return b, malformed("binding", field, err)
	}
	return b, nil
}
