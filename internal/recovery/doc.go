// Package recovery plans how services get their replicas back after the loss of a zone,
// and how a returning zone is put back into use. It only computes: the scheduler asks it
// for advice, and commits what its transactions' preconditions allow.
package recovery
