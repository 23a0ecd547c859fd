package statecache

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// Jobs stand in rows without what all their names begin with.
const jobPrefix = "req-"

const noAddress = "-"

// encode writes a row, without what all have in common: name, address, session, token, flags and drain, then
// the tasks, each with its attempt and perhaps its stop. Tokens are written in
// base 36; attempts and stops as what they lie below the row's token.
func (b *Machine) encode(a affixes) string {
	s := make([]byte, 0, 64+24*len(b.Bindings))
	s = append(s, string(b.Name)[len(a.Name):]...)
	s = append(s, ' ')
	if b.Address == "" {
		s = append(s, noAddress...)
	} else {
		s = append(s, b.Address[len(a.Address):len(b.Address)-len(a.Port)]...)
	}
	s = append(s, ' ')
	s = strconv.AppendUint(s, b.Incarnation, 10)
	s = append(s, ' ')
	s = strconv.AppendUint(s, b.FencingToken-a.TokenBase, 36)
	s = append(s, ' ')
	at := len(s)
	if b.Suspected {
		s = append(s, 'q')
	}
	if b.Terminating {
		s = append(s, 'c')
	}
	if b.DrainReason != "" {
		s = append(s, ':')
		s = append(s, strings.ReplaceAll(b.DrainReason, " ", "-")...)
	}
	if len(s) == at {
		s = append(s, noAddress...)
	}
	for i := range b.Bindings {
		t := &b.Bindings[i]
		s = append(s, ' ')
		s = append(s, string(t.Job)[len(jobPrefix):]...)
		s = append(s, '/')
		s = strconv.AppendInt(s, int64(t.TaskIndex), 10)
		s = append(s, '.')
		s = strconv.AppendUint(s, b.FencingToken-t.Attempt, 36)
		if t.StopToken > 0 {
			s = append(s, '!')
			s = strconv.AppendUint(s, b.FencingToken-t.StopToken, 36)
			s = append(s, ',')
			s = strconv.AppendInt(s, int64(t.GraceSeconds), 10)
		}
	}
	return string(s)
}

func decodeMachine(row string, a affixes) (*Machine, error) {
	f := strings.Split(row, " ")
	if len(f) < 5 {
		return nil, fmt.Errorf("row %.80q", row)
	}
	b := &Machine{Name: wire.MachineID(a.Name + f[0]), encoded: row}
	if f[1] != noAddress {
		b.Address = a.Address + f[1] + a.Port
	}
	var err, err2 error
	b.Incarnation, err = strconv.ParseUint(f[2], 10, 64)
	b.FencingToken, err2 = strconv.ParseUint(f[3], 36, 64)
	if err = errors.Join(err, err2); err != nil {
		return nil, err
	}
	b.FencingToken += a.TokenBase
	if f[4] != noAddress {
		flags, drain, _ := strings.Cut(f[4], ":")
		b.Suspected, b.Terminating, b.DrainReason = strings.Contains(flags, "q"), strings.Contains(flags, "c"), drain
	}
	if len(f) > 5 {
		b.Bindings = make([]TaskBinding, len(f)-5)
	}
	for i, s := range f[5:] {
		if b.Bindings[i], err = decodeBinding(s, b.FencingToken); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func decodeBinding(s string, token uint64) (TaskBinding, error) {
	name, rest, _ := strings.Cut(s, ".")
	job, n, ok := wire.ParseTaskID(wire.TaskID(jobPrefix + name))
	if !ok {
		return TaskBinding{}, fmt.Errorf("task %.40q", s)
	}
	attempt, stop, stopped := strings.Cut(rest, "!")
	d, err := strconv.ParseUint(attempt, 36, 64)
	t := TaskBinding{Job: job, TaskIndex: n, Attempt: token - d}
	if stopped && err == nil {
		at, grace, _ := strings.Cut(stop, ",")
		if d, err = strconv.ParseUint(at, 36, 64); err == nil {
			t.StopToken = token - d
			t.GraceSeconds, err = strconv.Atoi(grace)
		}
	}
	return t, err
}
