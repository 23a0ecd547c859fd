package statecache

import (
	"strconv"
	"strings"

	"lynxledge/wire"
)

// encodeCompletions encodes sorted task indexes as ranges: "3,5-9".
func encodeCompletions(tasks []int) string {
	var s []byte
	for first := 0; first < len(tasks); {
		last := first
		for last+1 < len(tasks) && tasks[last+1] == tasks[last]+1 {
			last++
		}
		if first > 0 {
			s = append(s, ',')
		}
		s = strconv.AppendInt(s, int64(tasks[first]), 10)
		if last > first {
			s = append(s, '-')
			s = strconv.AppendInt(s, int64(tasks[last]), 10)
		}
		first = last + 1
	}
	return string(s)
}

func decodeCompletions(s string) ([]int, error) {
	var tasks []int
	for part := range strings.SplitSeq(s, ",") {
		from, to, isRange := strings.Cut(part, "-")
		first, err := strconv.Atoi(from)
		last := first
		if isRange && err == nil {
			last, err = strconv.Atoi(to)
		}
		if err != nil || first < 0 || last < first || last >= wire.MaxTasksPerJob {
			return nil, malformed("completions", s, err)
		}
		for task := first; task <= last; task++ {
			tasks = append(tasks, task)
		}
	}
	return tasks, nil
}
