// Package placement has the rules of where a job's tasks may run: machine types, zones and
// spot instances.
package placement
