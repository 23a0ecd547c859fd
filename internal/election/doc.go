// Package election maintains this controller's membership record, campaigns for leadership and,
// while this controller leads, assigns teams to controllers. A process may still consider itself
// leader after it has lost leadership, so every write of a leader is conditional on the revision
// of its leader record.
package election
