package statecache

import "lynxledge/wire"

// ProvisioningIntent is the intent to provision machines, stored before the cloud is called.
type ProvisioningIntent struct {
	MachineType string    `json:"type"`
	Zone        wire.Zone `json:"zone"`
	Spot        bool      `json:"spot,omitempty"`
	Count       int       `json:"count"` // machines still to be provisioned
	Batch       int       `json:"batch,omitempty"`
	// TasksPerMachine is how many tasks a machine is expected to hold. It sizes groups.
	TasksPerMachine float64   `json:"tasks,omitempty"`
	RequestedAt     Timestamp `json:"at"`
	ModRevision     uint64    `json:"-"`
}
