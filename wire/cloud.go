package wire

// Limits of the cloud's calls.
const (
	MaxMachinesPerProvision = 50
	MaxMachinesPerDelete    = 100
	MaxInstancesPerPage     = 500
)

// MachineType is a type of machines that the cloud offers. Prices are per hour.
type MachineType struct {
	Name            string  `json:"label"`
	CPUs            float64 `json:"cores"`
	GPUs            float64 `json:"gpus"`
	MemoryGB        float64 `json:"memoryGb"`
	CacheGB         float64 `json:"cacheGb"`     // space for images
	ImageFetchGBps  float64 `json:"fetchGbPerS"` // GB per second
	HourlyPrice     float64 `json:"hourly"`
	HourlySpotPrice float64 `json:"marketPrice"`
	BootTime        Seconds `json:"bootS"` // as a rule, from the provision request to the first heartbeat
	Zones           []Zone  `json:"yards"`
}

// MachineTypeList answers GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest provisions up to Count machines. RequestID makes it idempotent, and must
// never be used for another request.
type ProvisionRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"build"`
	Zone        Zone   `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"`
}

// MachineNames is a list of machines: those that a request provisioned, or is to delete.
type MachineNames struct {
	Names []MachineID `json:"nests"`
}

// InstanceState is the state of a machine in the cloud's list.
type InstanceState string

// States of an instance.
const (
	InstanceStarting InstanceState = "starting"
	InstanceRunning  InstanceState = "running"
	InstanceFailed   InstanceState = "failed" // stopped by itself; listed until it is deleted
)

// Instance is one machine in the cloud's list.
type Instance struct {
	ID          MachineID     `json:"id"`
	Address     string        `json:"address"`
	MachineType string        `json:"build"`
	Zone        Zone          `json:"yard"`
	Spot        bool          `json:"loaners"`
	State       InstanceState `json:"status"`
	Age         Seconds       `json:"heldS"` // since the provision request, at the time of the list
}

// InstanceList answers GET /hosts.
type InstanceList struct {
	Instances []Instance `json:"nests"`
	More      bool       `json:"more"`
}
