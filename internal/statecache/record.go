package statecache

import "encoding/json"

// Record is the value of a key: a pointer to one of the record types of this package. Records
// are shared by all views and must not be modified.
type Record interface {
	// Kind returns the record's kind.
	Kind() Kind
	// modRevision returns a pointer to the revision of the record's last change.
	modRevision() *uint64
}

// Change is a change of one key. Record is the new record, or nil if the key was deleted.
type Change struct {
	Key         string
	Kind        Kind
	Name        string
	Record      Record
	ModRevision uint64
}

// changeTo returns the change that sets the record with a name.
func changeTo(name string, record Record) Change {
	kind := record.Kind()
	return Change{Key: keyOf(kind, name), Kind: kind, Name: name, Record: record, ModRevision: *record.modRevision()}
}

// recordPointer is the constraint of a pointer to T that implements [Record].
type recordPointer[T any] interface {
	*T
	Record
}

// decodeJSON decodes a record that is stored as plain JSON.
func decodeJSON[T any, R recordPointer[T]](raw json.RawMessage, modRevision uint64) (Record, error) {
	record := R(new(T))
	if err := json.Unmarshal(raw, record); err != nil {
		return nil, err
	}
	*record.modRevision() = modRevision
	return record, nil
}

// Kind implements [Record].
func (*Job) Kind() Kind { return KindJob }

// Kind implements [Record].
func (*CompletionChunk) Kind() Kind { return KindCompletionChunk }

// Kind implements [Record].
func (*MachineGroup) Kind() Kind { return KindMachineGroup }

// Kind implements [Record].
func (*Assignment) Kind() Kind { return KindAssignment }

// Kind implements [Record].
func (*Member) Kind() Kind { return KindMember }

// Kind implements [Record].
func (*ProvisioningIntent) Kind() Kind { return KindProvisioningIntent }

// Kind implements [Record].
func (*Leader) Kind() Kind { return KindLeader }

// Kind implements [Record].
func (*Term) Kind() Kind { return KindTerm }

// Kind implements [Record].
func (*ZoneRecoveries) Kind() Kind { return KindZoneRecovery }

func (j *Job) modRevision() *uint64                { return &j.ModRevision }
func (c *CompletionChunk) modRevision() *uint64    { return &c.ModRevision }
func (g *MachineGroup) modRevision() *uint64       { return &g.ModRevision }
func (a *Assignment) modRevision() *uint64         { return &a.ModRevision }
func (m *Member) modRevision() *uint64             { return &m.ModRevision }
func (i *ProvisioningIntent) modRevision() *uint64 { return &i.ModRevision }
func (l *Leader) modRevision() *uint64             { return &l.ModRevision }
func (t *Term) modRevision() *uint64               { return &t.ModRevision }
func (r *ZoneRecoveries) modRevision() *uint64     { return &r.ModRevision }
