// Package config reads the settings file that the platform provides (TOML) and
// the operators' settings (JSON with a schema).
package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"lynxledge/wire"
)

// Config holds all settings of a controller.
type Config struct {
	MemberName          string    `toml:"member"`
	Zone                wire.Zone `toml:"area"`
	ClientListenAddress string    `toml:"client_listen"`
	PeerListenAddress   string    `toml:"mesh_addr"`
	Peers               []Peer    `toml:"others"`
	External            struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Params Params `toml:"-"` // converted from paramsDocument

	// Operator holds the operators' settings, which are read from a separate file.
	Operator OperatorSettings `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Name    string    `toml:"member"`
	Zone    wire.Zone `toml:"area"`
	Address string    `toml:"endpoint"`
}

// Params describes the deployment.
type Params struct {
	ClusterSize int                 `toml:"size"`
	Zones       []wire.Zone         `toml:"zones"`
	ClockSkew   time.Duration       `toml:"-"` // this and the other fields tagged "-" are converted from paramsDocument
	Teams       []TeamQuota         `toml:"teams"`
	Objectives  []Objective         `toml:"-"`
	Workers     WorkerTimings       `toml:"-"`
	Store       StoreLimits         `toml:"state"`
	Cloud       CloudLimits         `toml:"-"`
	Resources   ControllerResources `toml:"resources"`
}

// TeamQuota holds a team's guaranteed and maximum resources in the cluster; 0 means that there is
// no guarantee or no maximum.
type TeamQuota struct {
	Name           wire.TeamName `toml:"name"`
	GuaranteedCPUs float64       `toml:"cpus"`
	MaxCPUs        float64       `toml:"cpus_max"`
	GuaranteedGPUs float64       `toml:"gpus"`
	MaxGPUs        float64       `toml:"gpus_max"`
}

// TeamQuota returns the quota of the team with a name, and whether there is one.
func (p *Params) TeamQuota(name wire.TeamName) (TeamQuota, bool) {
	for _, t := range p.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return TeamQuota{}, false
}

// WorkerTimings holds the intervals and timeouts of the workers.
type WorkerTimings struct {
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration // from the last heartbeat that got a response until the worker stops its tasks
	// CancellationDeadline is the time after a job's cancellation within which its tasks have
	// to stop.
	CancellationDeadline time.Duration
}

// Heartbeats returns n times the heartbeat interval.
func (w WorkerTimings) Heartbeats(n float64) time.Duration {
	return scaleDuration(w.HeartbeatInterval, n)
}

// Leases returns n times the lease duration.
func (w WorkerTimings) Leases(n float64) time.Duration { return scaleDuration(w.LeaseDuration, n) }

// launchViewAgeHeartbeats is the maximum age, in heartbeat intervals, of a view from which tasks
// are launched. A cache that can reach the store keeps its view fresher than this even when
// nothing changes.
const launchViewAgeHeartbeats = 0.75

// MaxLaunchViewAge returns the maximum age of a view from which tasks are launched.
func (w WorkerTimings) MaxLaunchViewAge() time.Duration { return w.Heartbeats(launchViewAgeHeartbeats) }

// CloudLimits holds the limits of the cloud's API.
type CloudLimits struct {
	RequestRate float64
	ListLag     time.Duration // from a change until the list of instances shows it
}

// ControllerResources holds the resources that the controller process may use.
type ControllerResources struct {
	CPUs                float64 `toml:"cpu"`
	MemoryMB            float64 `toml:"memory_mb"`
	FileDescriptorLimit int     `toml:"fd_limit"`
}

// Load reads the platform's settings file and, if operatorPath is not empty, the operators'.
func Load(path, operatorPath string) (*Config, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("settings file %s does not exist", path)
	}
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	c, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if operatorPath == "" {
		return c, nil
	}
	if c.Operator, err = loadOperatorSettings(operatorPath); err != nil {
		return nil, err
	}
	if err := c.Operator.validateAgainst(c.Params.Workers); err != nil {
		return nil, fmt.Errorf("operators' settings %s: %w", operatorPath, err)
	}
	return c, nil
}
