package main

import (
	"lynxledge/internal/config"
	"lynxledge/wire"
)

const settings = `
member = "n0"
area = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[params]
size = 3
zones = ["a", "b"]
skew_ms = 25.0
[[params.teams]]
name = "red"
cpus = 8.0
cpus_max = 20.0
[[params.teams]]
name = "blue"
cpus = 4.0
cpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 34.0
cancel_s = 64.0
[params.state]
rps = 150.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 3.0
list_lag_s = 10.0
[params.resources]
cpu = 0.1
memory_mb = 70.0
`

var machineTypes = []wire.MachineType{
	{Name: "s", CPUs: 4, MemoryGB: 16, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 1, HourlySpotPrice: 0.4, BootTime: 20, Zones: []wire.Zone{"a", "b"}},
	{Name: "l", CPUs: 16, MemoryGB: 64, CacheGB: 20, ImageFetchGBps: 1, HourlyPrice: 4.5, HourlySpotPrice: 1.5, BootTime: 20, Zones: []wire.Zone{"a"}},
}

// clusterSpec describes the controllers of a cluster and the machines that the cloud offers.
type clusterSpec struct {
	members          int
	machineTypes     []wire.MachineType
	poolSize         int            // machines in each pool: of one type and zone, spot or not
	poolSizes        map[string]int // by machine type, where it differs from poolSize
	memberZones      []wire.Zone    // assigned to the members round-robin; empty: as in the settings
	operatorSettings func(*config.OperatorSettings)
}

var smallCluster = clusterSpec{members: 3, machineTypes: machineTypes, poolSize: 5}
