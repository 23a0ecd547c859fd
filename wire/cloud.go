package wire

// Limits of the cloud's calls.
const (
	MaxMachinesPerProvision = 50
	MaxMachinesPerDelete    = 100
	MaxInstancesPerPage     = 500
)

// MachineType describes one type that the cloud rents.
type MachineType struct {
	Name            string   `json:"label"`
	CPUs            float64  `json:"cores"`
	GPUs            float64  `json:"gpus"`
	MemoryGB        float64  `json:"memoryGb"`
	CacheGB         float64  `json:"cacheGb"`
	ImageFetchGBps  float64  `json:"fetchGbPerS"`
	HourlyPrice     float64  `json:"hourly"`
	HourlySpotPrice float64  `json:"marketPrice"`
	BootTime        float64  `json:"bootS"`
	Zones           []string `json:"yards"`
}

// MachineTypeList answers GET /machine_types.
type MachineTypeList struct {
	Types []MachineType `json:"builds"`
}

// ProvisionRequest rents machines; Request names it for ever.
type ProvisionRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"howMany"`
}

// MachineNames is a list of names.
type MachineNames struct {
	Names []string `json:"nests"`
}

// States of a machine in the cloud's list.
const (
	InstanceStarting = "starting"
	InstanceRunning  = "running"
	InstanceFailed   = "failed"
)

// Instance is one machine in the cloud's list.
type Instance struct {
	ID          string  `json:"id"`
	Address     string  `json:"address"`
	MachineType string  `json:"build"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	State       string  `json:"status"`
	Age         float64 `json:"heldS"`
}

// InstanceList answers GET /hosts.
type InstanceList struct {
	Instances []Instance `json:"nests"`
	More      bool       `json:"more"`
}
