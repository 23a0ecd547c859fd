package main

import (
	"fmt"
	"strings"
	"time"
)

// sahil returns the settings of the deployment in Muscat.
func sahil() limits {
	var teams strings.Builder
	for _, t := range []struct {
		name           string
		cpus, cpusMost float64
	}{{"dispatch", 112, 288}, {"mapcraft", 112, 384}, {"probes", 80, 136}, {"fleet-ops", 96, 288}, {"platform", 80, 176}} {
		fmt.Fprintf(&teams, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpusMost)
	}
	return limits{
		report: 3 * time.Second, lease: 34 * time.Second, cancel: 64 * time.Second, gangWaitS: 30, gangPeerS: 4,
		rps: 150, writeRPS: 50, valueKB: 8, txnOps: 24, cloudRPS: 3, listLag: 10 * time.Second,
		cpu: 0.096, memoryMB: 70, fdLimit: 800, skewMS: 25, zones: `"ruwi", "seeb"`,
		teams: teams.String(),
		objectives: `[[params.objectives]]
kind = "finished"
class = "reroute-batch"
within_s = 100.0
share = 0.65
[[params.objectives]]
kind = "wait"
class = "turn-service"
within_s = 1.0
share = 0.93
[[params.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.975
`,
	}
}

// sahilTypes returns the machine types that are offered in Muscat.
func sahilTypes() []MachineType {
	return []MachineType{
		{Label: "dhow-small", Cores: 4, MemoryGB: 8, CacheGB: 35, FetchGBPerS: 0.5, Hourly: 0.15, MarketPrice: 0.06, BootS: 40, Yards: []string{"seeb"}},
		{Label: "dhow-mid", Cores: 16, MemoryGB: 64, CacheGB: 25, FetchGBPerS: 0.5, Hourly: 0.67, MarketPrice: 0.28, BootS: 50, Yards: []string{"seeb"}},
		{Label: "dhow-large", Cores: 64, MemoryGB: 256, CacheGB: 40, FetchGBPerS: 0.2, Hourly: 2.59, MarketPrice: 1.01, BootS: 25, Yards: []string{"seeb", "ruwi"}},
	}
}

// sahilNext returns the settings of the deployment in Muscat after its change: larger teams, reports
// every 5 s, and lower limits of the state service to come.
func sahilNext() limits {
	l := sahil()
	l.report = 5 * time.Second
	l.next = "[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 8\nwrite_rps = 35.0\n"
	var teams strings.Builder
	for _, t := range []struct {
		name           string
		cpus, cpusMost float64
	}{{"dispatch", 600, 1500}, {"mapcraft", 600, 3500}, {"probes", 400, 700}, {"fleet-ops", 500, 1500}, {"platform", 400, 900}} {
		fmt.Fprintf(&teams, "[[params.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpusMost)
	}
	l.teams = teams.String()
	return l
}

// sahilNextCapacity returns how many machines the cloud in Muscat has after the change.
func sahilNextCapacity() map[pool]int {
	return map[pool]int{
		{"dhow-small", "seeb", false}: 319, {"dhow-small", "seeb", true}: 80,
		{"dhow-mid", "seeb", false}: 31, {"dhow-mid", "seeb", true}: 22,
		{"dhow-large", "seeb", false}: 5, {"dhow-large", "seeb", true}: 3,
		{"dhow-large", "ruwi", false}: 5, {"dhow-large", "ruwi", true}: 4,
	}
}
