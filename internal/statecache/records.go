package statecache

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lynxledge/wire"
)

// KeyPrefix is the prefix of every key.
const KeyPrefix = "lx/"

// Kinds of keys, the part behind Root.
const (
	KindJob                = "job"
	KindCompletionChunk    = "done"
	KindMachineGroup       = "bind"
	KindAssignment         = "hand"
	KindMember             = "member"
	KindProvisioningIntent = "rent"
	KindLeader             = "leader"
	KindTerm               = "term"
	KindZoneRecovery       = "recovery"
)

// Key makes a key of a kind and a name.
func Key(kind, name string) string { return KeyPrefix + kind + "/" + name }

// Keys without a name.
const (
	LeaderKey = KeyPrefix + KindLeader
	TermKey   = KeyPrefix + KindTerm

	ZoneRecoveryKey = KeyPrefix + KindZoneRecovery
)

// CompletionChunkID names a record of a job's done set: a chunk as a whole, whose bits count
// from its first task, or a part of one, whose bits count from a task in it. Chunks are
// numbered by the size that values had when the cluster began, which every version
// shares; parts are for limits under which a whole one doesn't fit. A version that
// doesn't know parts leaves them alone.
type CompletionChunkID struct{ Chunk, FirstTask int }

// WholeChunk is the From of a whole chunk.
const WholeChunk = -1

// CompletionChunkKey names a record of a job's done set.
func CompletionChunkKey(job wire.JobID, id CompletionChunkID) string {
	if id.FirstTask == WholeChunk {
		return fmt.Sprintf("%s%s/%s/%04d", KeyPrefix, KindCompletionChunk, job, id.Chunk)
	}
	return fmt.Sprintf("%s%s/%s/%04d.%d", KeyPrefix, KindCompletionChunk, job, id.Chunk, id.FirstTask)
}

// Job is an accepted job. It is rewritten only when it ends.
type Job struct {
	Spec        *wire.Job     `json:"spec,omitempty"` // nil once done
	State       wire.JobState `json:"state,omitempty"`
	TaskCount   int           `json:"n"`
	SubmittedAt int64         `json:"at"`            // time of day of the acceptance, ms
	FinishedAt  int64         `json:"end,omitempty"` // time of day of the end, ms
	ModRevision uint64        `json:"-"`

	// What follows from other jobs' records, see pipeline.go. It is not stored.
	Blocked               bool    `json:"-"` // not all predecessors are done
	DependenciesDoneAt    int64   `json:"-"` // time of day at which the last of them was done, ms
	CancelledByDependency bool    `json:"-"` // cancelled because a predecessor is
	PriorityInherited     bool    `json:"-"` // its priority is that of a job that needs it
	InheritedDeadline     int64   `json:"-"` // time of day by which a job that needs this one is due, ms; 0: none
	DownstreamRuntime     float64 `json:"-"` // expected running time from the end of this one to the end of that one
}

// Active tells whether the job is not over: its tasks may be started, or may be
// once its predecessors are done.
func (j *Job) Active() bool { return j.State == "" }

// RunnableSince is the time of day from which the job could run, ms; while it is blocked,
// that of its submission.
func (j *Job) RunnableSince() int64 {
	if j.Blocked {
		return j.SubmittedAt
	}
	return max(j.SubmittedAt, j.DependenciesDoneAt)
}

// Cancelled is the record of the job's cancellation. What only a start would need
// is left out: the record must fit whatever the limit of a value has become.
func (j *Job) Cancelled(at int64) *Job {
	next := &Job{State: wire.JobCancelled, TaskCount: j.TaskCount, SubmittedAt: j.SubmittedAt, FinishedAt: at}
	if j.Spec != nil {
		spec := *j.Spec
		spec.MachineTypes, spec.Dependencies = nil, nil
		next.Spec = &spec
	}
	return next
}

// TaskBinding is one task bound to a machine.
type TaskBinding struct {
	Job       wire.JobID
	TaskIndex int
	Attempt   uint64
	// Stop is the token of the record that first ordered the task stopped; 0
	// while it is to run. No launch of this attempt carries Stop or more.
	StopToken uint64
	// Grace is the time given for saving, in seconds.
	GraceSeconds int
}

// TaskID is the task's name.
func (b *TaskBinding) TaskID() wire.TaskID { return wire.NewTaskID(b.Job, b.TaskIndex) }

// FirstToken is the lowest token of a term; generations count up from it.
func FirstToken(term uint64) uint64 { return term << termShift }

const termShift = 32

// Assignment names the controller that places a team's tasks.
type Assignment struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"boot"`
	ModRevision uint64 `json:"-"`
}

// Member is a live controller; the key hangs on its lease.
type Member struct {
	Incarnation uint64 `json:"boot"`
	// Capabilities are the kinds of records that it knows beyond those that every
	// version does.
	Capabilities []string `json:"can,omitempty"`
	ModRevision  uint64   `json:"-"`
}

// HasCapability tells whether the member announces a capability.
func (m *Member) HasCapability(capability string) bool {
	return slices.Contains(m.Capabilities, capability)
}

// Leader is the leading controller; the key hangs on its lease.
type Leader struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"boot"`
	Term        uint64 `json:"term"`
	ModRevision uint64 `json:"-"`
}

// Term is the highest term ever used.
type Term struct {
	Number      uint64 `json:"term"`
	ModRevision uint64 `json:"-"`
}

// ProvisioningIntent is the intent to rent machines, stored before the call.
type ProvisioningIntent struct {
	MachineType string    `json:"type"`
	Zone        wire.Zone `json:"zone"`
	Spot        bool      `json:"spot,omitempty"`
	Count       int       `json:"count"` // still to be rented
	Batch       int       `json:"batch,omitempty"`
	// Tasks is how many tasks a machine is expected to hold; it sizes groups.
	TasksPerMachine float64 `json:"tasks,omitempty"`
	RequestedAt     int64   `json:"at"`
	ModRevision     uint64  `json:"-"`
}

// CompletionChunk is a part of the set of a job's completed tasks.
type CompletionChunk struct {
	Bits        []byte
	ModRevision uint64
}

// MarshalJSON writes the bits as base64.
func (d CompletionChunk) MarshalJSON() ([]byte, error) {
	return json.Marshal(base64.StdEncoding.EncodeToString(d.Bits))
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (d *CompletionChunk) UnmarshalJSON(p []byte) error {
	var s string
	if err := json.Unmarshal(p, &s); err != nil {
		return err
	}
	var err error
	d.Bits, err = base64.StdEncoding.DecodeString(s)
	return err
}

// Has tells whether bit i is set.
func (d *CompletionChunk) Has(i int) bool {
	return d != nil && i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0
}

// CompletionValueBytes is the size of the value that holds a number of bits.
func CompletionValueBytes(bits int) int { return base64.StdEncoding.EncodedLen((bits+7)/8) + 2 }

// TasksPerCompletionPart is how many tasks the value of a done set's record can hold.
func TasksPerCompletionPart(valueBytes int) int { return (valueBytes - 2) / 4 * 3 * 8 }

// Capacity is how many tasks the record reaches to.
func (d *CompletionChunk) Capacity() int { return 8 * len(d.Bits) }

// With returns a copy with bits set.
func (d *CompletionChunk) With(bits ...int) *CompletionChunk {
	n := &CompletionChunk{}
	if d != nil {
		n.Bits = append(n.Bits, d.Bits...)
		n.ModRevision = d.ModRevision
	}
	for _, i := range bits {
		n.set(i)
	}
	return n
}

func (d *CompletionChunk) set(i int) {
	for len(d.Bits) <= i/8 {
		d.Bits = append(d.Bits, 0)
	}
	d.Bits[i/8] |= 1 << (i % 8)
}

// splitKey takes a key apart; name is empty for keys without one.
func splitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	kind, name, _ = strings.Cut(rest, "/")
	return kind, name, true
}

// parseCompletionChunkName takes the name of a done set's record apart.
func parseCompletionChunkName(name string) (job wire.JobID, id CompletionChunkID, ok bool) {
	jobName, num, found := strings.Cut(name, "/")
	num, from, part := strings.Cut(num, ".")
	chunk, err := strconv.Atoi(num)
	id = CompletionChunkID{chunk, WholeChunk}
	if part && err == nil {
		id.FirstTask, err = strconv.Atoi(from)
	}
	return wire.JobID(jobName), id, found && err == nil && chunk >= 0 && (!part || id.FirstTask >= 0)
}

func decodeAs[T any](raw json.RawMessage, stamp func(*T)) (any, error) {
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, err
	}
	stamp(v)
	return v, nil
}

// decodeKind reads a record of a kind.
func decodeKind(kind string, raw json.RawMessage, stamp uint64) (any, error) {
	switch kind {
	case KindJob:
		return decodeAs(raw, func(v *Job) { v.ModRevision = stamp })
	case KindCompletionChunk:
		return decodeAs(raw, func(v *CompletionChunk) { v.ModRevision = stamp })
	case KindAssignment:
		return decodeAs(raw, func(v *Assignment) { v.ModRevision = stamp })
	case KindMember:
		return decodeAs(raw, func(v *Member) { v.ModRevision = stamp })
	case KindProvisioningIntent:
		return decodeAs(raw, func(v *ProvisioningIntent) { v.ModRevision = stamp })
	case KindLeader:
		return decodeAs(raw, func(v *Leader) { v.ModRevision = stamp })
	case KindTerm:
		return decodeAs(raw, func(v *Term) { v.ModRevision = stamp })
	case KindZoneRecovery:
		return decodeZoneRecoveries(raw, stamp), nil
	}
	return nil, fmt.Errorf("unknown kind %q", kind)
}
