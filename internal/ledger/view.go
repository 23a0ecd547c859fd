package ledger

import "lynxledge/wire"

// Change is one key's new record; Rec is nil when the key is gone. Records
// are shared by every view and never written to.
type Change struct {
	Key   string
	Kind  string
	Name  string
	Rec   any
	Stamp uint64
}

// View is what an actor knows of the state service. Every actor owns one and
// applies the ledger's deltas to it.
type View struct {
	Jobs    map[string]*Job
	Done    map[string]map[int]*DoneChunk
	Binds   map[string]*Bind
	Bound   map[string]map[int]string // job, task: the machine it is bound to
	Hands   map[string]*Hand
	Members map[string]*Member
	Rents   map[string]*Rent
	Leader  *Leader
	Term    *Term

	chunkTasks int
	running    bool // keep no jobs that are done
}

// NewView makes an empty view; chunkTasks is the number of tasks in a chunk
// of a done set.
func NewView(chunkTasks int) *View {
	return &View{
		Jobs: map[string]*Job{}, Done: map[string]map[int]*DoneChunk{}, Binds: map[string]*Bind{},
		Bound: map[string]map[int]string{}, Hands: map[string]*Hand{}, Members: map[string]*Member{},
		Rents: map[string]*Rent{}, chunkTasks: chunkTasks,
	}
}

// NewRunningView makes a view for an actor that has no use for jobs once they
// are done: there may be any number of them.
func NewRunningView(chunkTasks int) *View {
	v := NewView(chunkTasks)
	v.running = true
	return v
}

// ChunkTasks sizes the chunks of done sets for a value limit: base64 takes
// four bytes for three, and half the value is left as margin.
func ChunkTasks(valueKB float64) int { return max(1, int(valueKB*1024/2*3/4)) * 8 }

func put[T any](m map[string]*T, name string, rec any) {
	if v, ok := rec.(*T); ok {
		m[name] = v
	} else {
		delete(m, name)
	}
}

// Apply takes one change over.
func (v *View) Apply(c Change) {
	switch c.Kind {
	case KindJob:
		put(v.Jobs, c.Name, c.Rec)
		if j := v.Jobs[c.Name]; v.running && j != nil && j.State == wire.JobDone {
			delete(v.Jobs, c.Name)
		}
	case KindDone:
		v.applyDone(c)
	case KindBind:
		v.applyBind(c)
	case KindHand:
		put(v.Hands, c.Name, c.Rec)
	case KindMember:
		put(v.Members, c.Name, c.Rec)
	case KindRent:
		put(v.Rents, c.Name, c.Rec)
	case KindLeader:
		v.Leader, _ = c.Rec.(*Leader)
	case KindTerm:
		v.Term, _ = c.Rec.(*Term)
	}
}

func (v *View) applyDone(c Change) {
	job, chunk, ok := splitDone(c.Name)
	if !ok {
		return
	}
	d, _ := c.Rec.(*DoneChunk)
	switch {
	case d == nil:
		delete(v.Done[job], chunk)
		if len(v.Done[job]) == 0 {
			delete(v.Done, job)
		}
	case v.Done[job] == nil:
		v.Done[job] = map[int]*DoneChunk{chunk: d}
	default:
		v.Done[job][chunk] = d
	}
}

func (v *View) applyBind(c Change) {
	if old := v.Binds[c.Name]; old != nil {
		for _, t := range old.Tasks {
			if v.Bound[t.Job][t.N] == c.Name {
				delete(v.Bound[t.Job], t.N)
				if len(v.Bound[t.Job]) == 0 {
					delete(v.Bound, t.Job)
				}
			}
		}
	}
	put(v.Binds, c.Name, c.Rec)
	b, _ := c.Rec.(*Bind)
	if b == nil {
		return
	}
	for _, t := range b.Tasks {
		if v.Bound[t.Job] == nil {
			v.Bound[t.Job] = map[int]string{}
		}
		v.Bound[t.Job][t.N] = c.Name
	}
}

// Chunk finds the chunk of a done set that holds a task.
func (v *View) Chunk(task int) (chunk, bit int) { return task / v.chunkTasks, task % v.chunkTasks }

// IsDone tells whether a task has completed.
func (v *View) IsDone(job string, task int) bool {
	c, bit := v.Chunk(task)
	return v.Done[job][c].Has(bit)
}

// DoneCount is the number of a job's completed tasks.
func (v *View) DoneCount(job string) int {
	n := 0
	for _, d := range v.Done[job] {
		n += d.Count()
	}
	return n
}

// Waits is how many tasks of a job are neither done nor bound.
func (v *View) Waits(id string, j *Job) int {
	return j.Tasks - v.DoneCount(id) - len(v.Bound[id])
}

// CurrentTerm is the highest term seen.
func (v *View) CurrentTerm() uint64 {
	if v.Term == nil {
		return 0
	}
	return v.Term.Term
}

// stamp tells the stamp of a key, 0 when it does not exist.
func (v *View) stamp(kind, name string) uint64 {
	switch kind {
	case KindJob:
		if r := v.Jobs[name]; r != nil {
			return r.Stamp
		}
	case KindDone:
		if job, chunk, ok := splitDone(name); ok {
			if r := v.Done[job][chunk]; r != nil {
				return r.Stamp
			}
		}
	case KindBind:
		if r := v.Binds[name]; r != nil {
			return r.Stamp
		}
	case KindHand:
		if r := v.Hands[name]; r != nil {
			return r.Stamp
		}
	case KindMember:
		if r := v.Members[name]; r != nil {
			return r.Stamp
		}
	case KindRent:
		if r := v.Rents[name]; r != nil {
			return r.Stamp
		}
	case KindLeader:
		if v.Leader != nil {
			return v.Leader.Stamp
		}
	case KindTerm:
		if v.Term != nil {
			return v.Term.Stamp
		}
	}
	return 0
}

// changes lists every record as a change, for a subscriber's first delta and
// for finding what a fresh listing lacks.
func (v *View) changes() []Change {
	var out []Change
	add := func(kind, name string, rec any, stamp uint64) {
		key := Key(kind, name)
		if name == "" {
			key = Root + kind
		}
		out = append(out, Change{Key: key, Kind: kind, Name: name, Rec: rec, Stamp: stamp})
	}
	for n, r := range v.Jobs {
		add(KindJob, n, r, r.Stamp)
	}
	for job, chunks := range v.Done {
		for c, r := range chunks {
			key := DoneKey(job, c)
			_, name, _ := split(key)
			add(KindDone, name, r, r.Stamp)
		}
	}
	for n, r := range v.Binds {
		add(KindBind, n, r, r.Stamp)
	}
	for n, r := range v.Hands {
		add(KindHand, n, r, r.Stamp)
	}
	for n, r := range v.Members {
		add(KindMember, n, r, r.Stamp)
	}
	for n, r := range v.Rents {
		add(KindRent, n, r, r.Stamp)
	}
	if v.Leader != nil {
		add(KindLeader, "", v.Leader, v.Leader.Stamp)
	}
	if v.Term != nil {
		add(KindTerm, "", v.Term, v.Term.Stamp)
	}
	return out
}
