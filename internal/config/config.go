// Package config reads the settings file that the platform hands over (TOML)
// and the operators' own settings (JSON with a schema).
package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"lynxledge/wire"
)

// Config is everything that a controller is told at its start.
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
	Params Params `toml:"-"` // converted from the document's

	// Operator holds the operators' own settings, which are a file of their own.
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
	ClockSkew   time.Duration       `toml:"-"` // this and the others without a name are converted from the document's
	Teams       []TeamQuota         `toml:"teams"`
	Objectives  []Objective         `toml:"-"`
	Workers     WorkerTimings       `toml:"-"`
	Store       StoreLimits         `toml:"state"`
	Cloud       CloudLimits         `toml:"-"`
	Resources   ControllerResources `toml:"resources"`
}

// TeamQuota is a team's guaranteed and largest share of the cluster; 0 means none.
type TeamQuota struct {
	Name           wire.TeamName `toml:"name"`
	GuaranteedCPUs float64       `toml:"cpus"`
	MaxCPUs        float64       `toml:"cpus_max"`
	GuaranteedGPUs float64       `toml:"gpus"`
	MaxGPUs        float64       `toml:"gpus_max"`
}

// TeamQuota finds a team by name.
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
	LeaseDuration     time.Duration // from the last answered heartbeat until a worker stops its tasks
	// CancellationDeadline is the time from a job's cancellation by which its tasks have to
	// have stopped.
	CancellationDeadline time.Duration
}

// Heartbeats returns the duration of n heartbeat intervals.
func (w WorkerTimings) Heartbeats(n float64) time.Duration { return multiple(w.HeartbeatInterval, n) }

// Leases returns the duration of n leases.
func (w WorkerTimings) Leases(n float64) time.Duration { return multiple(w.LeaseDuration, n) }

// launchViewAgeHeartbeats is the greatest age, in heartbeat intervals, of a view from which tasks
// are launched. A cache that reaches the store keeps its view fresher than that when nothing
// changes.
const launchViewAgeHeartbeats = 0.75

// MaxLaunchViewAge returns how old the view may be from which a task is launched.
func (w WorkerTimings) MaxLaunchViewAge() time.Duration { return w.Heartbeats(launchViewAgeHeartbeats) }

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RequestRate float64
	ListLag     time.Duration // until its list of instances shows a change
}

// ControllerResources is what this process may use.
type ControllerResources struct {
	CPUCores            float64 `toml:"cpu"`
	MemoryMB            float64 `toml:"memory_mb"`
	FileDescriptorLimit int     `toml:"fd_limit"`
}

// Load reads the platform's file and, when operatorPath is not empty, the operators' own.
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
