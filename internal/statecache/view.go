package statecache

import "lynxledge/wire"

// Change is one key's new record; Rec is nil when the key is gone. Records
// are shared by every view and never written to.
type Change struct {
	Key         string
	Kind        string
	Name        string
	Record      any
	ModRevision uint64
}

// View is what an actor knows of the state service. Every actor owns one and
// applies the ledger's deltas to it.
type View struct {
	Jobs                map[wire.JobID]*Job
	CompletionChunks    map[wire.JobID]map[CompletionChunkID]*CompletionChunk // stored done sets
	Groups              map[string]*MachineGroup
	Machines            map[wire.MachineID]*Machine           // by machine
	Bindings            map[wire.JobID]map[int]wire.MachineID // job, task: the machine it is bound to
	Assignments         map[wire.TeamName]*Assignment
	Members             map[string]*Member
	ProvisioningIntents map[string]*ProvisioningIntent
	Leader              *Leader
	Term                *Term
	ZoneRecoveries      *ZoneRecoveries // nil: no zone is recovering

	completions    map[wire.JobID]*completionSet // of jobs that are not over
	chunkTasks     int
	unfinishedOnly bool // keep no jobs that are done
}

// completionSet is the set of a job's completed tasks. It only grows: what was marked
// or stored as completed stays so.
type completionSet struct {
	bits  CompletionChunk
	count int
}

func (d *completionSet) add(n int) {
	if !d.bits.Has(n) {
		d.bits.set(n)
		d.count++
	}
}

// NewView makes an empty view; chunkTasks is the number of tasks in a chunk
// of a done set.
func NewView(chunkTasks int) *View {
	return &View{
		Jobs: map[wire.JobID]*Job{}, CompletionChunks: map[wire.JobID]map[CompletionChunkID]*CompletionChunk{}, Groups: map[string]*MachineGroup{}, Machines: map[wire.MachineID]*Machine{},
		Bindings: map[wire.JobID]map[int]wire.MachineID{}, Assignments: map[wire.TeamName]*Assignment{}, Members: map[string]*Member{},
		ProvisioningIntents: map[string]*ProvisioningIntent{}, completions: map[wire.JobID]*completionSet{}, chunkTasks: chunkTasks,
	}
}

// NewUnfinishedView makes a view for an actor that has no use for jobs once they
// are done: there may be any number of them.
func NewUnfinishedView(chunkTasks int) *View {
	v := NewView(chunkTasks)
	v.unfinishedOnly = true
	return v
}

// ChunkTasks sizes the chunks of done sets for a value limit: base64 takes
// four bytes for three, and half the value is left as margin.
func ChunkTasks(valueKB float64) int { return max(1, int(valueKB*1024/2*3/4)) * 8 }

func put[K ~string, T any](m map[K]*T, name string, rec any) {
	if v, ok := rec.(*T); ok {
		m[K(name)] = v
	} else {
		delete(m, K(name))
	}
}

// MachineChange is what a change of a group means for one machine.
type MachineChange struct {
	Machine  wire.MachineID
	Old, New *Machine // nil: not there
}

// Apply takes one change over, and tells which machines it changes. Jobs must
// come before what is bound or done of them, and of one revision what is there
// before what is not: a group may take over the machines of another.
func (v *View) Apply(c Change) []MachineChange {
	switch c.Kind {
	case KindJob:
		id := wire.JobID(c.Name)
		put(v.Jobs, c.Name, c.Record)
		j := v.Jobs[id]
		if j == nil || !j.Active() {
			delete(v.completions, id)
		}
		if v.unfinishedOnly && j != nil && j.State == wire.JobDone {
			delete(v.Jobs, id)
		}
	case KindCompletionChunk:
		v.applyCompletionChunk(c)
	case KindMachineGroup:
		return v.applyGroup(c)
	case KindAssignment:
		put(v.Assignments, c.Name, c.Record)
	case KindMember:
		put(v.Members, c.Name, c.Record)
	case KindProvisioningIntent:
		put(v.ProvisioningIntents, c.Name, c.Record)
	case KindLeader:
		v.Leader, _ = c.Record.(*Leader)
	case KindTerm:
		v.Term, _ = c.Record.(*Term)
	case KindZoneRecovery:
		v.ZoneRecoveries, _ = c.Record.(*ZoneRecoveries)
	}
	return nil
}

// Active tells whether a job is known and not over.
func (v *View) Active(job wire.JobID) bool {
	j := v.Jobs[job]
	return j != nil && j.Active()
}

// completionsOf is the set to add a job's completed tasks to, or nil when it is over.
func (v *View) completionsOf(job wire.JobID) *completionSet {
	if !v.Active(job) {
		return nil
	}
	d := v.completions[job]
	if d == nil {
		d = &completionSet{}
		v.completions[job] = d
	}
	return d
}

func (v *View) applyCompletionChunk(c Change) {
	job, chunk, ok := parseCompletionChunkName(c.Name)
	if !ok {
		return
	}
	rec, _ := c.Record.(*CompletionChunk)
	if rec == nil {
		delete(v.CompletionChunks[job], chunk)
		if len(v.CompletionChunks[job]) == 0 {
			delete(v.CompletionChunks, job)
		}
		return
	}
	if v.CompletionChunks[job] == nil {
		v.CompletionChunks[job] = map[CompletionChunkID]*CompletionChunk{}
	}
	v.CompletionChunks[job][chunk] = rec
	if d := v.completionsOf(job); d != nil {
		for i := range 8 * len(rec.Bits) {
			if rec.Has(i) {
				d.add(chunk.Chunk*v.chunkTasks + max(0, chunk.FirstTask) + i)
			}
		}
	}
}

func (v *View) applyGroup(c Change) []MachineChange {
	old := v.Groups[c.Name]
	put(v.Groups, c.Name, c.Record)
	g := v.Groups[c.Name]
	var out []MachineChange
	var was, is []*Machine
	if old != nil {
		was = old.Machines
	}
	if g != nil {
		is = g.Machines
	}
	for len(was) > 0 || len(is) > 0 {
		switch {
		case len(is) == 0 || len(was) > 0 && was[0].Name < is[0].Name:
			// A machine that another group has taken over is not gone.
			if v.Machines[was[0].Name] == was[0] {
				out = append(out, MachineChange{was[0].Name, was[0], nil})
			}
			was = was[1:]
		case len(was) == 0 || is[0].Name < was[0].Name:
			out = append(out, MachineChange{is[0].Name, v.Machines[is[0].Name], is[0]})
			is = is[1:]
		default:
			if was[0] != is[0] {
				out = append(out, MachineChange{is[0].Name, was[0], is[0]})
			}
			was, is = was[1:], is[1:]
		}
	}
	for _, b := range out {
		v.updateBindings(b)
	}
	if g != nil {
		for job, ns := range g.Completions {
			if d := v.completionsOf(job); d != nil && d.count < v.Jobs[job].TaskCount {
				for _, n := range ns {
					d.add(n)
				}
			}
		}
	}
	return out
}

func (v *View) updateBindings(c MachineChange) {
	if c.Old != nil {
		for i := range c.Old.Bindings {
			t := &c.Old.Bindings[i]
			if v.Bindings[t.Job][t.TaskIndex] == c.Machine {
				delete(v.Bindings[t.Job], t.TaskIndex)
				if len(v.Bindings[t.Job]) == 0 {
					delete(v.Bindings, t.Job)
				}
			}
		}
	}
	if c.New == nil {
		delete(v.Machines, c.Machine)
		return
	}
	v.Machines[c.Machine] = c.New
	for i := range c.New.Bindings {
		t := &c.New.Bindings[i]
		if v.Bindings[t.Job] == nil {
			v.Bindings[t.Job] = map[int]wire.MachineID{}
		}
		v.Bindings[t.Job][t.TaskIndex] = c.Machine
	}
}

// CompletionChunkOf finds the chunk of a done set that holds a task.
func (v *View) CompletionChunkOf(task int) (chunk, bit int) {
	return task / v.chunkTasks, task % v.chunkTasks
}

// IsCompleted tells whether a task has completed; of a job that is over, nothing is
// known.
func (v *View) IsCompleted(job wire.JobID, task int) bool {
	d := v.completions[job]
	return d != nil && d.bits.Has(task)
}

// CompletedCount is the number of completed tasks of a job that is not over.
func (v *View) CompletedCount(job wire.JobID) int {
	if d := v.completions[job]; d != nil {
		return d.count
	}
	return 0
}

// AllTasksCompleted tells whether a job has all its tasks done, but is not called done
// yet.
func (v *View) AllTasksCompleted(job wire.JobID) bool {
	return v.Active(job) && v.CompletedCount(job) >= v.Jobs[job].TaskCount
}

// PendingTasks is how many tasks of a job are neither done nor bound.
func (v *View) PendingTasks(id wire.JobID, j *Job) int {
	return j.TaskCount - v.CompletedCount(id) - len(v.Bindings[id])
}

// CurrentTerm is the highest term seen.
func (v *View) CurrentTerm() uint64 {
	if v.Term == nil {
		return 0
	}
	return v.Term.Number
}
