// Package wire defines the JSON messages that lynxledge exchanges with users, workers, the cloud
// and the key-value store, and validates them. It does not depend on other packages of the
// project, so that clients can use it too.
//
// docs/PROTOCOL-lynxledge.md specifies the messages. The protocol has its own terminology, which
// appears in struct tags, values of named constants, error texts and HTTP paths. Everywhere else
// the code uses these terms for it:
//
// Jobs and tasks:
//
//	work                 job
//	lane                 class of jobs, which share objectives
//	crew                 team
//	shape                kind: array or service
//	rank                 priority: idle, normal, high or prod (production)
//	leg, legs            task, tasks or number of tasks
//	cores                CPUs
//	builds               machine types
//	yard                 zone
//	oneZone              single zone
//	scatter              spread across zones
//	loaners              spot machines
//	bundle, sizeGb       container image and its size
//	expectS              estimated runtime
//	waypointS            checkpoint interval
//	stash, stashS        writing a checkpoint, and its duration
//	dueS                 deadline, relative to the submission
//	awaits               dependencies
//	status               state
//	done, running        (in a job's status) numbers of completed and of running tasks
//	abort, aborted       cancel, cancelled
//
// Heartbeats and commands:
//
//	hello, reportsTo     heartbeat, redirect to another controller
//	nest                 machine, or a controller's member name in reportsTo
//	shift                incarnation of a worker
//	tick                 sequence number
//	baton                fencing token
//	recallS              preemption notice: time until the cloud reclaims the machine
//	try                  attempt
//	fetching, saving     (state of a task) fetching its image, checkpointing
//	ended, cause         exited, exit reason
//	halted               stopped by command
//	no_room              insufficient capacity
//	in_use               attempt conflict: the machine has another attempt of the task
//	stored               checkpointed
//	orders, do           commands, a batch of commands sent directly to a worker
//	verb                 operation of a command
//	clear                acknowledge: forget a task that has exited
//	windS                grace period
//	inspect              request for a heartbeat
//
// Cloud:
//
//	label                name of a machine type
//	fetchGbPerS          image fetch rate
//	hourly, marketPrice  price and spot price per hour
//	bootS                boot time
//	hire                 ID of a provision request, which makes it idempotent
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
// Durations are encoded as decimal numbers of seconds, which [Seconds] preserves exactly.
package wire
