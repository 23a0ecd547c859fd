package statecache

import "lynxledge/wire"

// modRevision tells the stamp of a key, 0 when it does not exist.
func (v *View) modRevision(kind, name string) uint64 {
	switch kind {
	case KindJob:
		if r := v.Jobs[wire.JobID(name)]; r != nil {
			return r.ModRevision
		}
	case KindCompletionChunk:
		if job, chunk, ok := parseCompletionChunkName(name); ok {
			if r := v.CompletionChunks[job][chunk]; r != nil {
				return r.ModRevision
			}
		}
	case KindMachineGroup:
		if r := v.Groups[name]; r != nil {
			return r.ModRevision
		}
	case KindAssignment:
		if r := v.Assignments[wire.TeamName(name)]; r != nil {
			return r.ModRevision
		}
	case KindMember:
		if r := v.Members[name]; r != nil {
			return r.ModRevision
		}
	case KindProvisioningIntent:
		if r := v.ProvisioningIntents[name]; r != nil {
			return r.ModRevision
		}
	case KindLeader:
		if v.Leader != nil {
			return v.Leader.ModRevision
		}
	case KindTerm:
		if v.Term != nil {
			return v.Term.ModRevision
		}
	case KindZoneRecovery:
		if v.ZoneRecoveries != nil {
			return v.ZoneRecoveries.ModRevision
		}
	}
	return 0
}

// allRecords lists every record as a change, for a subscriber's first delta and
// for finding what a fresh listing lacks.
func (v *View) allRecords() []Change {
	var out []Change
	add := func(kind, name string, rec any, stamp uint64) {
		key := Key(kind, name)
		if name == "" {
			key = KeyPrefix + kind
		}
		out = append(out, Change{Key: key, Kind: kind, Name: name, Record: rec, ModRevision: stamp})
	}
	for n, r := range v.Jobs {
		add(KindJob, string(n), r, r.ModRevision)
	}
	for job, chunks := range v.CompletionChunks {
		for c, r := range chunks {
			key := CompletionChunkKey(job, c)
			_, name, _ := splitKey(key)
			add(KindCompletionChunk, name, r, r.ModRevision)
		}
	}
	for n, r := range v.Groups {
		add(KindMachineGroup, n, r, r.ModRevision)
	}
	for n, r := range v.Assignments {
		add(KindAssignment, string(n), r, r.ModRevision)
	}
	for n, r := range v.Members {
		add(KindMember, n, r, r.ModRevision)
	}
	for n, r := range v.ProvisioningIntents {
		add(KindProvisioningIntent, n, r, r.ModRevision)
	}
	if v.Leader != nil {
		add(KindLeader, "", v.Leader, v.Leader.ModRevision)
	}
	if v.Term != nil {
		add(KindTerm, "", v.Term, v.Term.ModRevision)
	}
	if v.ZoneRecoveries != nil {
		add(KindZoneRecovery, "", v.ZoneRecoveries, v.ZoneRecoveries.ModRevision)
	}
	return out
}
