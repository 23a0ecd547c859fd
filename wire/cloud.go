package wire

// Limits of the cloud API's calls.
const (
	MaxMachinesPerProvision = 50
	MaxMachinesPerDelete    = 100
	MaxInstancesPerPage     = 500
)

// MachineType is a machine type that the cloud offers. Prices are per hour.
type MachineType struct {
	Name            string  `json:"label"`
	CPUs            float64 `json:"cores"`
	GPUs            float64 `json:"gpus"`
	MemoryGB        float64 `json:"memoryGb"`
	CacheGB         float64 `json:"cacheGb"`     // size of the image cache
	ImageFetchGBps  float64 `json:"fetchGbPerS"` // GB per second
	HourlyPrice     float64 `json:"hourly"`
	HourlySpotPrice float64 `json:"marketPrice"`
	BootTime        Seconds `json:"bootS"` // typical time from the provision request to the first heartbeat
	Zones           []Zone  `json:"yards"`
}

// MachineTypeList is the response to GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest provisions up to Count machines. RequestID makes it idempotent and must not be
// reused for a different request.
type ProvisionRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"build"`
	Zone        Zone   `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"`
}

// MachineNames lists the machines that a request provisioned, or that it asks to delete.
type MachineNames struct {
	Names []MachineID `json:"nests"`
}

// InstanceState is the state of an instance in the cloud's list.
type InstanceState string

// States of an instance.
const (
	InstanceStarting InstanceState = "starting"
	InstanceRunning  InstanceState = "running"
	InstanceFailed   InstanceState = "failed" // stopped without a request; listed until it is deleted
)

// Instance is one machine in the cloud's list.
type Instance struct {
	ID          MachineID     `json:"id"`
	Address     string        `json:"address"`
	MachineType string        `json:"build"`
	Zone        Zone          `json:"yard"`
	Spot        bool          `json:"loaners"`
	State       InstanceState `json:"status"`
	Age         Seconds       `json:"heldS"` // time from the provision request to the list response
}

// InstanceList is the response to GET /hosts: one page of the instances.
type InstanceList struct {
	Instances []Instance `json:"nests"`
	More      bool       `json:"more"`
}
