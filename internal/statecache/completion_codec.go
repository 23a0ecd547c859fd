package statecache

import (
	"fmt"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// encodeCompletions writes sorted task numbers as ranges: "3,5-9".
func encodeCompletions(ns []int) string {
	var s []byte
	for i := 0; i < len(ns); {
		k := i
		for k+1 < len(ns) && ns[k+1] == ns[k]+1 {
			k++
		}
		if i > 0 {
			s = append(s, ',')
		}
		s = strconv.AppendInt(s, int64(ns[i]), 10)
		if k > i {
			s = append(s, '-')
			s = strconv.AppendInt(s, int64(ns[k]), 10)
		}
		i = k + 1
	}
	return string(s)
}

func decodeCompletions(s string) ([]int, error) {
	var ns []int
	for part := range strings.SplitSeq(s, ",") {
		from, to, isRange := strings.Cut(part, "-")
		a, err := strconv.Atoi(from)
		b := a
		if isRange && err == nil {
			b, err = strconv.Atoi(to)
		}
		if err != nil || a < 0 || b < a || b >= wire.MaxTasksPerJob {
			return nil, fmt.Errorf("marks %.40q", s)
		}
		for n := a; n <= b; n++ {
			ns = append(ns, n)
		}
	}
	return ns, nil
}

// TerminationBytes is what a task that left adds to a record.
func TerminationBytes(g *Termination) int { return len(encodeTermination(g)) + machineSeparatorBytes }

func encodeTermination(g *Termination) string {
	why := strings.ReplaceAll(string(g.Reason), " ", "-") // a worker's word, perhaps an unknown one
	s := string(g.Machine) + " " + string(g.Job)[len(jobPrefix):] + "/" + strconv.Itoa(g.TaskIndex) + " " + why
	if g.Runtime > 0 {
		s += " " + strconv.FormatFloat(g.Runtime, 'f', 1, 64)
	}
	return s
}

func decodeTermination(s string) (Termination, error) {
	f := strings.Split(s, " ")
	if len(f) < 3 {
		return Termination{}, fmt.Errorf("gone %.80q", s)
	}
	job, n, ok := wire.ParseTaskID(wire.TaskID(jobPrefix + f[1]))
	if !ok {
		return Termination{}, fmt.Errorf("gone %.80q", s)
	}
	g := Termination{Machine: wire.MachineID(f[0]), Job: job, TaskIndex: n, Reason: wire.ExitReason(f[2])}
	if len(f) > 3 {
		var err error
		if g.Runtime, err = strconv.ParseFloat(f[3], 64); err != nil {
			return g, err
		}
	}
	return g, nil
}
