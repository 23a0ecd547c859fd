package main

import "time"

// gebeyaOps returns the settings of the deployment in Addis Ababa with its guest team.
func gebeyaOps() limits {
	return limits{
		report: 8 * time.Second, lease: 44 * time.Second, cancel: 74 * time.Second, gangWaitS: 30, gangPeerS: 4,
		rps: 200, writeRPS: 20, valueKB: 4, txnOps: 8, cloudRPS: 10, listLag: 10 * time.Second,
		cpu: 0.3, memoryMB: 342, fdLimit: 5000, skewMS: 25, zones: `"bole", "kality", "piassa"`,
		teams: `[[params.teams]]
name = "matchmaking"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "campus-lab"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
`,
	}
}

// gebeyaTypes returns the machine types that are offered in Addis Ababa.
func gebeyaTypes() []MachineType {
	return []MachineType{
		{Label: "entoto-small", Cores: 4, MemoryGB: 32, CacheGB: 35, FetchGBPerS: 0.2, Hourly: 0.19, MarketPrice: 0.05, BootS: 50, Yards: []string{"bole", "piassa"}},
		{Label: "entoto-big", Cores: 16, MemoryGB: 128, CacheGB: 40, FetchGBPerS: 0.4, Hourly: 0.78, MarketPrice: 0.2, BootS: 30, Yards: []string{"kality", "piassa"}},
	}
}

// gebeyaOpsCapacity returns how many machines the cloud in Addis Ababa has.
func gebeyaOpsCapacity() map[pool]int {
	return map[pool]int{
		{"entoto-small", "bole", false}: 300, {"entoto-small", "bole", true}: 400,
		{"entoto-small", "piassa", false}: 350, {"entoto-small", "piassa", true}: 400,
		{"entoto-big", "kality", false}: 80, {"entoto-big", "kality", true}: 100,
		{"entoto-big", "piassa", false}: 100, {"entoto-big", "piassa", true}: 100,
	}
}
