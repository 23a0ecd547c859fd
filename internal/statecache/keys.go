package statecache

import "strings"

// KeyPrefix is the prefix of every key that the controllers use.
const KeyPrefix = "lx/"

// Kind is the kind of a record: the part of its key after [KeyPrefix], up to the next slash if
// there is one.
type Kind string

// Kinds of records.
const (
	KindJob                Kind = "job"
	KindCompletionChunk    Kind = "done"
	KindMachineGroup       Kind = "bind"
	KindAssignment         Kind = "hand"
	KindMember             Kind = "member"
	KindProvisioningIntent Kind = "rent"
	KindLeader             Kind = "leader"
	KindTerm               Kind = "term"
	KindZoneRecovery       Kind = "recovery"
)

// Keys of the kinds with a single record.
const (
	LeaderKey       = KeyPrefix + string(KindLeader)
	TermKey         = KeyPrefix + string(KindTerm)
	ZoneRecoveryKey = KeyPrefix + string(KindZoneRecovery)
)

// Key returns the key of the record with a kind and a name.
func Key(kind Kind, name string) string { return KeyPrefix + string(kind) + "/" + name }

// keyOf returns the key of a record, whose name is empty if its kind has a single record.
func keyOf(kind Kind, name string) string {
	if name == "" {
		return KeyPrefix + string(kind)
	}
	return Key(kind, name)
}

// splitKey splits a key into kind and name. The name is empty for a kind with a single record.
func splitKey(key string) (kind Kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	prefix, name, _ := strings.Cut(rest, "/")
	return Kind(prefix), name, true
}
