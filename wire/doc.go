// Package wire has the JSON formats that lynxledge exchanges with users, workers, the cloud
// and the key-value store, and the checks on them. It depends on no other package of the
// project, so that clients can use it too.
//
// The formats are those of docs/PROTOCOL-lynxledge.md. The protocol has words of its own,
// which appear in the struct tags and in the values of the named constants of this package
// and nowhere else in the code. The code uses these terms for them:
//
// Jobs and tasks:
//
//	work                 job
//	lane                 class (of jobs with common objectives)
//	crew                 team
//	shape                kind: array or service
//	rank                 priority: idle, normal, high or prod (production)
//	leg, legs            task, tasks or their count
//	cores                CPUs
//	builds               machine types
//	yard                 zone
//	oneZone              single zone
//	scatter              spread over zones
//	loaners              spot instances
//	bundle, sizeGb       container image and its size
//	expectS              estimated runtime
//	waypointS            checkpoint interval
//	stash, stashS        writing a checkpoint, and how long that takes
//	dueS                 deadline, counted from submission
//	awaits               dependencies
//	status               state
//	done, running        (of a job's status) completed tasks, running tasks
//	abort, aborted       cancel, cancelled
//
// Heartbeats and commands:
//
//	hello, reportsTo     heartbeat, redirect to another controller
//	nest                 machine, or a controller's member name in reportsTo
//	shift                incarnation of a worker
//	tick                 sequence number
//	baton                fencing token
//	recallS              preemption notice: time until the cloud takes the machine back
//	try                  attempt
//	fetching, saving     (of a task) fetching its image, checkpointing
//	ended, cause         exited, exit reason
//	halted               stopped by command
//	no_room              insufficient capacity
//	in_use               attempt conflict: the task is there with another attempt
//	stored               checkpointed
//	orders, do           commands, a batch of commands sent to a worker directly
//	verb                 operation of a command
//	clear                acknowledge: forget a task that has exited
//	windS                grace period
//	inspect              heartbeat on request
//
// Cloud:
//
//	label                name of a machine type
//	fetchGbPerS          image fetch rate
//	hourly, marketPrice  price and spot price per hour
//	bootS                boot time
//	hire                 id of a provision request, which makes it idempotent
//	howMany              count
//	hosts, nests         instances
//	heldS                age: time since the provision request
//
// Key-value store:
//
//	path, data           key, value
//	stamp                modification revision of a key
//	epoch                revision of the store
//	permit               lease
//	lifeMs               time to live of a lease
//	items                key-value pairs
//	guards, failed       preconditions, keys whose preconditions failed
//	set, remove          put, delete
//	touch                keep a lease alive
//	follow, news         watch, events
//
// Durations on the wire are decimal numbers of seconds, which [Seconds] keeps exactly.
package wire
