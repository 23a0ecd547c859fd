// Package resources defines the amounts of CPUs, GPUs and memory that tasks request and machines
// offer, the pools that machines are provisioned from, and the teams' usage of their quotas.
package resources
