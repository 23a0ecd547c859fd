package wire

import (
	"math"
	"slices"
)

const (
	maxAmount       = 1e9 // larger amounts and durations are rejected as mistakes
	maxMachineTypes = 64  // maximum number of machine types that a job may name
)

// jobDocument is a Job that distinguishes a field that is missing, or null where null is not
// allowed, from a zero value. Most fields have built-in types, because the texts of decoding errors
// contain the type names.
type jobDocument struct {
	ID                 *JobID    `json:"id"`
	Class              *string   `json:"lane"`
	Team               *string   `json:"crew"`
	Kind               *string   `json:"shape"`
	Priority           *Priority `json:"rank"`
	TaskCount          *int      `json:"legs"`
	CPUs               *float64  `json:"cores"`
	GPUs               *float64  `json:"gpus"`
	MemoryGB           *float64  `json:"memoryGb"`
	Image              *string   `json:"bundle"`
	ImageGB            *float64  `json:"sizeGb"`
	MachineTypes       *[]string `json:"builds"`
	Zone               *string   `json:"yard"`
	SingleZone         *bool     `json:"oneZone"`
	SpreadZones        *bool     `json:"scatter"`
	AllowSpot          *bool     `json:"loaners"`
	EstimatedRuntime   *float64  `json:"expectS"`
	CheckpointInterval *float64  `json:"waypointS"`
	CheckpointDuration *float64  `json:"stashS"`
	Deadline           *float64  `json:"dueS"`
	Dependencies       []string  `json:"awaits"`
}

// PeekJobID decodes only the ID of a submission. The repeated submission of a known job can thus be
// recognized whatever the rest of its body says.
func PeekJobID(b []byte) (id JobID, ok bool) {
	var document struct {
		ID *JobID `json:"id"`
	}
	if Decode(b, &document) != nil || document.ID == nil || !ValidJobID(string(*document.ID)) {
		return "", false
	}
	return *document.ID, true
}

// ParseJob decodes and validates a submission.
func ParseJob(b []byte) (*Job, error) {
	var document jobDocument
	if err := Decode(b, &document); err != nil {
		return nil, err
	}
	if field := document.missingField(); field != "" {
		return nil, invalid(field, "%s is missing", field)
	}
	j := document.job()
	if err := document.addOptionalFields(j); err != nil {
		return nil, err
	}
	return j, j.validate()
}

// missingField returns the first mandatory field that is missing, or "".
func (d *jobDocument) missingField() string {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"id", d.ID == nil}, {"lane", d.Class == nil}, {"crew", d.Team == nil},
		{"shape", d.Kind == nil}, {"rank", d.Priority == nil}, {"legs", d.TaskCount == nil},
		{"cores", d.CPUs == nil}, {"gpus", d.GPUs == nil}, {"memoryGb", d.MemoryGB == nil},
		{"bundle", d.Image == nil}, {"sizeGb", d.ImageGB == nil}, {"oneZone", d.SingleZone == nil},
		{"scatter", d.SpreadZones == nil}, {"loaners", d.AllowSpot == nil}, {"expectS", d.EstimatedRuntime == nil},
		{"waypointS", d.CheckpointInterval == nil}, {"stashS", d.CheckpointDuration == nil},
	} {
		if field.missing {
			return field.name
		}
	}
	return ""
}

// job returns the job without its optional fields. No mandatory field may be missing.
func (d *jobDocument) job() *Job {
	return &Job{
		ID: *d.ID, Class: *d.Class, Team: TeamName(*d.Team), Kind: JobKind(*d.Kind), Priority: *d.Priority,
		TaskCount: *d.TaskCount, CPUs: *d.CPUs, GPUs: *d.GPUs, MemoryGB: *d.MemoryGB,
		Image: *d.Image, ImageGB: *d.ImageGB, SingleZone: *d.SingleZone, SpreadZones: *d.SpreadZones,
		AllowSpot: *d.AllowSpot, EstimatedRuntime: Seconds(*d.EstimatedRuntime),
		CheckpointInterval: Seconds(*d.CheckpointInterval), CheckpointDuration: Seconds(*d.CheckpointDuration),
	}
}

// addOptionalFields adds the optional fields that are present to j, without duplicate dependencies.
func (d *jobDocument) addOptionalFields(j *Job) error {
	if d.MachineTypes != nil {
		if len(*d.MachineTypes) == 0 || len(*d.MachineTypes) > maxMachineTypes {
			return invalid("builds", "builds must name 1 to %d types", maxMachineTypes)
		}
		j.MachineTypes = *d.MachineTypes
	}
	if d.Zone != nil {
		if *d.Zone == "" {
			return invalid("yard", "yard is empty")
		}
		j.Zone = Zone(*d.Zone)
	}
	if d.Deadline != nil {
		deadline := Seconds(*d.Deadline)
		j.Deadline = &deadline
	}
	for _, dependency := range d.Dependencies {
		if !ValidJobID(dependency) {
			return invalid("awaits", "awaits: %.40q is not of the form req-000412", dependency)
		}
		if !slices.Contains(j.Dependencies, JobID(dependency)) {
			j.Dependencies = append(j.Dependencies, JobID(dependency))
		}
	}
	return nil
}

// validate checks the values of the fields.
func (j *Job) validate() error {
	switch {
	case !ValidJobID(string(j.ID)):
		return invalid("id", "id %.40q is not of the form req-000412", j.ID)
	case j.Kind != KindArray && j.Kind != KindService:
		return invalid("shape", "shape %.40q", j.Kind)
	case j.TaskCount < 1 || j.TaskCount > MaxTasksPerJob:
		return invalid("legs", "legs must be 1 to %d", MaxTasksPerJob)
	case !j.validNames():
		return invalid("", "a name is empty or longer than %d bytes", maxNameBytes)
	case len(j.Zone) > maxNameBytes:
		return invalid("yard", "yard is longer than %d bytes", maxNameBytes)
	case !(j.CPUs > 0):
		return invalid("cores", "cores must be more than 0")
	case !j.validAmounts():
		return invalid("", "an amount is out of range")
	}
	return nil
}

func (j *Job) validNames() bool {
	names := append([]string{j.Class, string(j.Team), j.Image}, j.MachineTypes...)
	return !slices.ContainsFunc(names, func(name string) bool { return name == "" || len(name) > maxNameBytes })
}

func (j *Job) validAmounts() bool {
	amounts := []float64{
		j.CPUs, j.GPUs, j.MemoryGB, j.ImageGB,
		float64(j.EstimatedRuntime), float64(j.CheckpointInterval), float64(j.CheckpointDuration),
	}
	if j.Deadline != nil {
		amounts = append(amounts, float64(*j.Deadline))
	}
	return !slices.ContainsFunc(amounts, func(amount float64) bool { return math.IsNaN(amount) || amount < 0 || amount > maxAmount })
}
