// Package election keeps this controller's membership, campaigns for leadership and, while this
// controller leads, assigns teams to controllers. A process that believes to lead is never
// trusted: every write of a leader is conditional on the revision of its leader record.
package election
