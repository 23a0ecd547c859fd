// Package recovery decides how services are made whole again after the loss of a zone,
// and how a zone that returns is taken back into use. It is pure: the scheduler asks it
// for advice, and carries out what its preconditions allow.
package recovery
