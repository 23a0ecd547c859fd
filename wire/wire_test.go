package wire

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lynxledge/internal/rapidseed"
)

func drawJob(t *rapid.T) *Job {
	name := rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`)
	amount := rapid.Float64Range(0, 1e6)
	jobID := rapid.Map(rapid.StringMatching(`req-[0-9]{6,12}`), func(s string) JobID { return JobID(s) })
	seconds := func(label string) Seconds { return Seconds(amount.Draw(t, label)) }
	j := &Job{
		ID: jobID.Draw(t, "id"), Class: name.Draw(t, "class"), Team: TeamName(name.Draw(t, "team")),
		Kind:     rapid.SampledFrom([]JobKind{KindArray, KindService}).Draw(t, "shape"),
		Priority: Priority(rapid.IntRange(0, 3).Draw(t, "rank")), TaskCount: rapid.IntRange(1, MaxTasksPerJob).Draw(t, "tasks"),
		CPUs: rapid.Float64Range(0.1, 1e3).Draw(t, "cpus"), GPUs: amount.Draw(t, "gpus"), MemoryGB: amount.Draw(t, "mem"),
		Image: name.Draw(t, "image"), ImageGB: amount.Draw(t, "gb"), EstimatedRuntime: seconds("estimate"),
		SingleZone: rapid.Bool().Draw(t, "one"), SpreadZones: rapid.Bool().Draw(t, "spread"), AllowSpot: rapid.Bool().Draw(t, "spot"),
	}
	if rapid.Bool().Draw(t, "limited") {
		d := seconds("deadline")
		j.Deadline, j.Zone = &d, Zone(name.Draw(t, "zone"))
		j.MachineTypes = rapid.SliceOfN(name, 1, 4).Draw(t, "types")
		j.Dependencies = rapid.SliceOfNDistinct(jobID, 1, 5, rapid.ID).Draw(t, "awaits")
	}
	return j
}

func fields(t *rapid.T, j *Job) map[string]any {
	b, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]any{}
	if err := json.Unmarshal(b, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		m := fields(t, j)
		m["unknown"] = []int{1}
		if j.Deadline == nil {
			m["dueS"], m["builds"], m["yard"], m["awaits"] = nil, nil, nil, rapid.SampledFrom([]any{nil, []string{}}).Draw(t, "none")
		}
		b, _ := json.Marshal(m)
		got, err := ParseJob(b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, j) {
			t.Fatalf("got %+v, want %+v", got, j)
		}
	})
}

// A job with a single field that is missing, has the wrong type or is out of range is malformed.
func TestParseJobRejectsOneInvalidField(t *testing.T) {
	invalidValues := map[string][]any{
		"id": {"", 7, "req-12", "job-000412", "req-00041x"}, "lane": {"", 1}, "crew": {"", strings.Repeat("x", 200)},
		"shape": {"group", 1}, "rank": {"urgent", 3}, "legs": {0, -1, MaxTasksPerJob + 1, 1.5, "4"}, "cores": {0, -1, "8", 1e12},
		"gpus": {-1, "x"}, "memoryGb": {-1, true}, "bundle": {"", 3}, "sizeGb": {-0.5, "1"}, "oneZone": {"true", 1},
		"scatter": {0}, "loaners": {"no"}, "expectS": {-1, "3"}, "waypointS": {-2}, "stashS": {-3, []int{}},
		"awaits": {"req-000001", []int{1}, []string{"req-1"}, []string{"req-000001", ""}, []any{nil}},
	}
	optional := map[string]bool{"awaits": true}
	rapid.Check(t, func(t *rapid.T) {
		m := fields(t, drawJob(t))
		var names []string
		for n := range invalidValues {
			names = append(names, n)
		}
		name := rapid.SampledFrom(names).Draw(t, "field")
		minChoice := -2
		if optional[name] {
			minChoice = 0
		}
		if choice := rapid.IntRange(minChoice, len(invalidValues[name])-1).Draw(t, "how"); choice == -2 {
			delete(m, name)
		} else if choice == -1 {
			m[name] = nil
		} else {
			m[name] = invalidValues[name][choice]
		}
		b, _ := json.Marshal(m)
		if _, err := ParseJob(b); !errors.Is(err, ErrMalformed) {
			t.Fatalf("%s accepted: %v", b, err)
		}
	})
}

// A dependency that is named several times is kept once, in the order of first mention.
func TestDependenciesAreDeduplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fields(t, drawJob(t))
		m["awaits"] = []string{"req-000002", "req-000001", "req-000002"}
		b, _ := json.Marshal(m)
		if j, err := ParseJob(b); err != nil || !reflect.DeepEqual(j.Dependencies, []JobID{"req-000002", "req-000001"}) {
			t.Fatalf("%v, %v", j, err)
		}
	})
}

func TestParseJobRejectsMalformedBodies(t *testing.T) {
	for _, s := range []string{"", "null", "[]", "{", `"x"`, `{} {}`, "\xff\xfe", `{"id":"req-000001"}`} {
		if _, err := ParseJob([]byte(s)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", s, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		if j, err := ParseJob(b); err == nil {
			t.Fatalf("accepted as %+v", j)
		}
	})
}

func TestTaskIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id, n := JobID(rapid.StringMatching(`req-[0-9]{6,9}`).Draw(t, "id")), rapid.IntRange(0, MaxTasksPerJob-1).Draw(t, "n")
		if j, m, ok := ParseTaskID(NewTaskID(id, n)); !ok || j != id || m != n {
			t.Fatalf("%s %d became %s %d %v", id, n, j, m, ok)
		}
	})
	for _, s := range []TaskID{"req-000001", "req-000001/", "req-000001/-1", "req-000001/01", "req-000001/100000", "x/1", "req-000001/1/2"} {
		if _, _, ok := ParseTaskID(s); ok {
			t.Errorf("%q accepted", s)
		}
	}
}

func TestHeartbeatValidation(t *testing.T) {
	negative := Seconds(-1)
	for name, r := range map[string]Heartbeat{
		"no machine":     {Address: "x:1", MachineType: "t", Zone: "z", Incarnation: 1},
		"slash":          {Machine: "a/b", Address: "x:1", MachineType: "t", Zone: "z", Incarnation: 1},
		"no incarnation": {Machine: "a", Address: "x:1", MachineType: "t", Zone: "z"},
		"notice":         {Machine: "a", Address: "x:1", MachineType: "t", Zone: "z", Incarnation: 1, PreemptionNotice: &negative},
	} {
		if r.Validate() == nil {
			t.Errorf("%s accepted", name)
		}
	}
}

// The texts are sent to users and workers, whose programs may match them.
func TestValidationErrorTexts(t *testing.T) {
	for _, c := range []struct {
		field string // field of the valid submission that is replaced
		value any    // its new value; nil: null
		want  ValidationError
	}{
		{"crew", nil, ValidationError{"crew", "crew is missing"}},
		{"stashS", nil, ValidationError{"stashS", "stashS is missing"}},
		{"id", "x", ValidationError{"id", `id "x" is not of the form req-000412`}},
		{"shape", "group", ValidationError{"shape", `shape "group"`}},
		{"legs", 0, ValidationError{"legs", "legs must be 1 to 100000"}},
		{"lane", "", ValidationError{"", "a name is empty or longer than 128 bytes"}},
		{"yard", "", ValidationError{"yard", "yard is empty"}},
		{"yard", strings.Repeat("x", 129), ValidationError{"yard", "yard is longer than 128 bytes"}},
		{"builds", []string{}, ValidationError{"builds", "builds must name 1 to 64 types"}},
		{"awaits", []string{"x"}, ValidationError{"awaits", `awaits: "x" is not of the form req-000412`}},
		{"cores", 0, ValidationError{"cores", "cores must be more than 0"}},
		{"gpus", -1, ValidationError{"", "an amount is out of range"}},
	} {
		m := map[string]any{
			"id": "req-000412", "lane": "train", "crew": "vision", "shape": "array", "rank": "high", "legs": 16,
			"cores": 8.0, "gpus": 1.0, "memoryGb": 64.0, "bundle": "img-07", "sizeGb": 6.2, "oneZone": true, "scatter": false,
			"loaners": true, "expectS": 240.0, "waypointS": 30.0, "stashS": 4.0,
		}
		m[c.field] = c.value
		b, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseJob(b)
		var got *ValidationError
		if !errors.As(err, &got) || *got != c.want || !errors.Is(err, ErrMalformed) {
			t.Errorf("%s = %v: %v, want %+v", c.field, c.value, err, c.want)
		} else if text := "malformed: " + c.want.Reason; err.Error() != text {
			t.Errorf("%s = %v: %q, want %q", c.field, c.value, err, text)
		}
	}
}

func TestSecondsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Float64Range(0, 1e9).Draw(t, "number")
		want, err := json.Marshal(number)
		if err != nil {
			t.Fatal(err)
		}
		var s Seconds
		if err := json.Unmarshal(want, &s); err != nil {
			t.Fatal(err)
		}
		if got, err := json.Marshal(s); err != nil || string(got) != string(want) {
			t.Fatalf("%s became %s, %v", want, got, err)
		}
		if got, want := s.Duration(), time.Duration(number*float64(time.Second)); got != want {
			t.Fatalf("%v s are %v, want %v", number, got, want)
		}
	})
}
