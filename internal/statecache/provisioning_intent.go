package statecache

import "lynxledge/wire"

// ProvisioningIntent is the record of an intent to provision machines. It is stored before the
// cloud is called.
type ProvisioningIntent struct {
	MachineType string    `json:"type"`
	Zone        wire.Zone `json:"zone"`
	Spot        bool      `json:"spot,omitempty"`
	Count       int       `json:"count"` // machines still to be provisioned
	Batch       int       `json:"batch,omitempty"`
	// TasksPerMachine is the number of tasks that a machine is expected to hold. The size of
	// groups follows from it.
	TasksPerMachine float64   `json:"tasks,omitempty"`
	RequestedAt     Timestamp `json:"at"`
	ModRevision     uint64    `json:"-"`
}
