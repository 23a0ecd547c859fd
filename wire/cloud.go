package wire

// Limits of the cloud's calls.
const (
	MaxHire     = 50
	MaxDelete   = 100
	MaxListPage = 500
)

// MachineType describes one type that the cloud rents.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"memoryGb"`
	CacheGB   float64  `json:"cacheGb"`
	FetchGBps float64  `json:"fetchGbPerS"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"marketPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"yards"`
}

// MachineTypes answers GET /machine_types.
type MachineTypes struct {
	Types []MachineType `json:"builds"`
}

// HireRequest rents machines; Request names it for ever.
type HireRequest struct {
	Request string `json:"hire"`
	Type    string `json:"build"`
	Zone    string `json:"yard"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"howMany"`
}

// Machines is a list of names.
type Machines struct {
	Names []string `json:"nests"`
}

// States of a machine in the cloud's list.
const (
	HostStarting = "starting"
	HostRunning  = "running"
	HostFailed   = "failed"
)

// Host is one machine in the cloud's list.
type Host struct {
	ID    string  `json:"id"`
	Addr  string  `json:"address"`
	Type  string  `json:"build"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	State string  `json:"status"`
	AgeS  float64 `json:"heldS"`
}

// HostList answers GET /hosts.
type HostList struct {
	Hosts []Host `json:"nests"`
	More  bool   `json:"more"`
}
