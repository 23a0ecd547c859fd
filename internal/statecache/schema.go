package statecache

import (
	"encoding/json"

	"lynxledge/wire"
)

// schema describes a kind of record: how its values are decoded, and where a view holds them.
type schema interface {
	// decode decodes the record with a name. It may share parts of the view's previous record.
	decode(v *View, name string, raw json.RawMessage, modRevision uint64) (Record, error)
	// find returns the view's record with a name, or nil.
	find(v *View, name string) Record
	// apply replaces the view's record with a name; nil removes it. It returns the resulting
	// changes of machines.
	apply(v *View, name string, record Record) []MachineChange
	// each calls visit with every record of this kind in the view.
	each(v *View, visit func(name string, record Record))
}

// kinds lists the kinds in the order in which a view enumerates its records.
var kinds = []Kind{
	KindJob, KindCompletionChunk, KindMachineGroup, KindAssignment, KindMember, KindProvisioningIntent,
	KindLeader, KindTerm, KindZoneRecovery,
}

// schemas maps every kind to its schema.
var schemas = map[Kind]schema{
	KindJob:                jobSchema{tableOf(func(v *View) map[wire.JobID]*Job { return v.Jobs })},
	KindCompletionChunk:    completionChunkSchema{},
	KindMachineGroup:       machineGroupSchema{tableOf(func(v *View) map[string]*MachineGroup { return v.Groups })},
	KindAssignment:         tableOf(func(v *View) map[wire.TeamName]*Assignment { return v.Assignments }),
	KindMember:             tableOf(func(v *View) map[string]*Member { return v.Members }),
	KindProvisioningIntent: tableOf(func(v *View) map[string]*ProvisioningIntent { return v.ProvisioningIntents }),
	KindLeader:             singleOf(func(v *View) **Leader { return &v.Leader }),
	KindTerm:               singleOf(func(v *View) **Term { return &v.Term }),
	KindZoneRecovery:       zoneRecoverySchema{singleOf(func(v *View) **ZoneRecoveries { return &v.ZoneRecoveries })},
}

// table is the schema of a kind whose records a view holds in a map, by name.
type table[K ~string, T any, R recordPointer[T]] struct {
	records func(*View) map[K]R
}

func tableOf[K ~string, T any, R recordPointer[T]](records func(*View) map[K]R) table[K, T, R] {
	return table[K, T, R]{records}
}

func (table[K, T, R]) decode(_ *View, _ string, raw json.RawMessage, modRevision uint64) (Record, error) {
	return decodeJSON[T, R](raw, modRevision)
}

func (t table[K, T, R]) find(v *View, name string) Record {
	if record := t.records(v)[K(name)]; record != nil {
		return record
	}
	return nil
}

func (t table[K, T, R]) apply(v *View, name string, record Record) []MachineChange {
	if typed, ok := record.(R); ok {
		t.records(v)[K(name)] = typed
	} else {
		delete(t.records(v), K(name))
	}
	return nil
}

func (t table[K, T, R]) each(v *View, visit func(name string, record Record)) {
	for name, record := range t.records(v) {
		visit(string(name), record)
	}
}

// single is the schema of a kind with a single record.
type single[T any, R recordPointer[T]] struct {
	record func(*View) *R
}

func singleOf[T any, R recordPointer[T]](record func(*View) *R) single[T, R] {
	return single[T, R]{record}
}

func (single[T, R]) decode(_ *View, _ string, raw json.RawMessage, modRevision uint64) (Record, error) {
	return decodeJSON[T, R](raw, modRevision)
}

func (s single[T, R]) find(v *View, _ string) Record {
	if record := *s.record(v); record != nil {
		return record
	}
	return nil
}

func (s single[T, R]) apply(v *View, _ string, record Record) []MachineChange {
	*s.record(v), _ = record.(R)
	return nil
}

func (s single[T, R]) each(v *View, visit func(name string, record Record)) {
	if record := s.find(v, ""); record != nil {
		visit("", record)
	}
}

// jobSchema also drops what a view does not keep of a job that has ended, such as its completed
// tasks.
type jobSchema struct {
	table[wire.JobID, Job, *Job]
}

func (s jobSchema) apply(v *View, name string, record Record) []MachineChange {
	s.table.apply(v, name, record)
	v.jobReplaced(wire.JobID(name))
	return nil
}

// machineGroupSchema also updates the view's machines, bindings and completed tasks when the
// record of a group changes.
type machineGroupSchema struct {
	table[string, MachineGroup, *MachineGroup]
}

func (machineGroupSchema) decode(v *View, name string, raw json.RawMessage, modRevision uint64) (Record, error) {
	group, err := decodeGroup(name, raw, modRevision, v.Groups[name])
	if err != nil {
		return nil, err
	}
	return group, nil
}

func (s machineGroupSchema) apply(v *View, name string, record Record) []MachineChange {
	previous := v.Groups[name]
	s.table.apply(v, name, record)
	return v.groupReplaced(previous, v.Groups[name])
}

// zoneRecoverySchema marks a record that can't be decoded as Unreadable instead of failing.
type zoneRecoverySchema struct {
	single[ZoneRecoveries, *ZoneRecoveries]
}

func (zoneRecoverySchema) decode(_ *View, _ string, raw json.RawMessage, modRevision uint64) (Record, error) {
	return decodeZoneRecoveries(raw, modRevision), nil
}

// completionChunkSchema is the schema of completion chunks, which a view holds by job and ID.
type completionChunkSchema struct{}

func (completionChunkSchema) decode(_ *View, _ string, raw json.RawMessage, modRevision uint64) (Record, error) {
	return decodeJSON[CompletionChunk](raw, modRevision)
}

func (completionChunkSchema) find(v *View, name string) Record {
	job, id, ok := parseCompletionChunkName(name)
	if !ok {
		return nil
	}
	if chunk := v.CompletionChunks[job][id]; chunk != nil {
		return chunk
	}
	return nil
}

func (completionChunkSchema) apply(v *View, name string, record Record) []MachineChange {
	if job, id, ok := parseCompletionChunkName(name); ok {
		chunk, _ := record.(*CompletionChunk)
		v.replaceCompletionChunk(job, id, chunk)
	}
	return nil
}

func (completionChunkSchema) each(v *View, visit func(name string, record Record)) {
	for job, chunks := range v.CompletionChunks {
		for id, chunk := range chunks {
			visit(completionChunkName(job, id), chunk)
		}
	}
}
