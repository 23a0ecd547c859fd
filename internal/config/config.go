// Package config reads the settings file that the platform hands over (TOML)
// and the operators' own settings (JSON with a schema).
package config

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"net"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"lynxledge/internal/overload"
	"lynxledge/wire"
)

// Peer is another controller.
type Peer struct {
	Name    string    `toml:"member"`
	Zone    wire.Zone `toml:"area"`
	Address string    `toml:"endpoint"`
}

// TeamQuota is a team's guarantee and limit; 0 means none.
type TeamQuota struct {
	Name           wire.TeamName `toml:"name"`
	GuaranteedCPUs float64       `toml:"cpus"`
	MaxCPUs        float64       `toml:"cpus_max"`
	GuaranteedGPUs float64       `toml:"gpus"`
	MaxGPUs        float64       `toml:"gpus_max"`
}

// Objective repeats one aim.
type Objective struct {
	Kind             string  `toml:"kind"`
	Class            string  `toml:"class"`
	Within           float64 `toml:"within_s"`
	Share            float64 `toml:"share"`
	DeadlineMultiple float64 `toml:"times"`
}

// WorkerTimings holds the workers' times.
type WorkerTimings struct {
	HeartbeatInterval    float64 `toml:"report_s"`
	LeaseDuration        float64 `toml:"lease_s"`
	CancellationDeadline float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RequestRate float64 `toml:"rps"`
	WriteRate   float64 `toml:"write_rps"`
	MaxValueKB  float64 `toml:"value_kb"`
	MaxTxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment on, without
	// notice.
	Upcoming *UpcomingStoreLimits `toml:"next"`
}

// UpcomingStoreLimits holds the limits to come.
type UpcomingStoreLimits struct {
	RequestRate *float64 `toml:"rps"` // absent: as it is
	WriteRate   float64  `toml:"write_rps"`
	MaxValueKB  float64  `toml:"value_kb"`
	MaxTxnOps   int      `toml:"txn_ops"`
}

// ValueSizeLimit is the most that a value may have, now and later: what is written
// fits the smaller of both limits from the start.
func (s *StoreLimits) ValueSizeLimit() int {
	kb := s.MaxValueKB
	if s.Upcoming != nil {
		kb = min(kb, s.Upcoming.MaxValueKB)
	}
	return int(kb * 1024)
}

// RequestRateLimit is the rate of requests, now and later.
func (s *StoreLimits) RequestRateLimit() float64 {
	if s.Upcoming != nil && s.Upcoming.RequestRate != nil {
		return min(s.RequestRate, *s.Upcoming.RequestRate)
	}
	return s.RequestRate
}

// TxnOpsLimit is the most writes that a transaction may have, now and later.
func (s *StoreLimits) TxnOpsLimit() int {
	if s.Upcoming != nil {
		return min(s.MaxTxnOps, s.Upcoming.MaxTxnOps)
	}
	return s.MaxTxnOps
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RequestRate float64 `toml:"rps"`
	ListLag     float64 `toml:"list_lag_s"`
}

// ControllerResources is what this process may use.
type ControllerResources struct {
	CPUCores            float64 `toml:"cpu"`
	MemoryMB            float64 `toml:"memory_mb"`
	FileDescriptorLimit int     `toml:"fd_limit"`
}

// What a controller needs at the least to serve a deployment of a few hundred machines,
// as measured: docs/performance.md.
const (
	minRecommendedCPU             = 0.02 // of a core
	minRecommendedMemoryMB        = 40.0
	minRecommendedFileDescriptors = 100 // sockets; with fewer, commands and reports wait for each other
)

// Warnings names the settings that look too small, and what each should be at least.
// They are no reason not to start: the controller then does the best that it can.
func (c *Config) Warnings() []string {
	small := c.Params.Resources.Warnings()
	if needed := c.leaseRenewalRate() / leaseRenewalRateShare; c.Params.Store.RequestRateLimit() < needed {
		small = append(small, fmt.Sprintf("params.state.rps<%.0f", math.Ceil(needed)))
	}
	if s := c.Operator.Standby; s != nil && s.warning(c.Params.Workers) != "" {
		small = append(small, s.warning(c.Params.Workers))
	}
	return small
}

const (
	// RenewalsPerLeaseTTL is how often a controller renews its membership lease in the
	// lease's time.
	RenewalsPerLeaseTTL = 3

	// leaseRenewalRateShare is the part of the state service's requests that renewals may take.
	// What is left after it, watches and users' reads is for transactions.
	leaseRenewalRateShare = 0.25
)

// leaseRenewalRate is how many requests a second all controllers renew their leases with.
func (c *Config) leaseRenewalRate() float64 {
	lease := c.Params.Workers.HeartbeatInterval * c.Operator.MemberLeaseHeartbeats
	return float64(len(c.Peers)+1) * RenewalsPerLeaseTTL / lease
}

// Warnings names the resources that look too small.
func (r ControllerResources) Warnings() []string {
	var small []string
	if r.CPUCores < minRecommendedCPU {
		small = append(small, fmt.Sprintf("params.resources.cpu<%v", minRecommendedCPU))
	}
	if r.MemoryMB < minRecommendedMemoryMB {
		small = append(small, fmt.Sprintf("params.resources.memory_mb<%v", minRecommendedMemoryMB))
	}
	if r.FileDescriptorLimit > 0 && r.FileDescriptorLimit < minRecommendedFileDescriptors {
		small = append(small, fmt.Sprintf("params.resources.fd_limit<%v", minRecommendedFileDescriptors))
	}
	return small
}

// Params describes the deployment.
type Params struct {
	ClusterSize     int                 `toml:"size"`
	Zones           []wire.Zone         `toml:"zones"`
	ClockSkewMillis float64             `toml:"skew_ms"`
	Teams           []TeamQuota         `toml:"teams"`
	Objectives      []Objective         `toml:"objectives"`
	Workers         WorkerTimings       `toml:"workers"`
	Store           StoreLimits         `toml:"state"`
	Cloud           CloudLimits         `toml:"cloud"`
	Resources       ControllerResources `toml:"resources"`
}

// Config is everything a controller is told at its start.
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
	Params Params `toml:"params"`

	// Ops are the operators' own settings.
	Operator OperatorSettings `toml:"-"`

	// Rates is what this process knows of the rates in force; nil: as set.
	StoreRates *StoreRates `toml:"-"`

	// Load tells whether this process gets the processor time that it needs; nil: it does.
	Overload *overload.Gauge `toml:"-"`
}

// StoreWriteRate is the state service's rate of writes as far as it is known now.
func (c *Config) StoreWriteRate() float64 { return c.StoreRates.writeRate(&c.Params.Store) }

// Load reads the platform's file and, when opsPath is not empty, the
// operators' own.
func Load(path, opsPath string) (*Config, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("settings file %s does not exist", path)
	}
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	c, err := Parse(string(b))
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	if opsPath != "" {
		if c.Operator, err = loadOperatorSettings(opsPath); err != nil {
			return nil, err
		}
		if err := c.validateOperatorSettings(); err != nil {
			return nil, fmt.Errorf("operators' settings %s: %w", opsPath, err)
		}
	}
	return c, nil
}

// validateOperatorSettings checks the operators' settings against the platform's.
func (c *Config) validateOperatorSettings() error {
	if z := c.Operator.ZoneRecovery; z != nil {
		return z.validateAgainst(c.Params.Workers)
	}
	return nil
}

// Parse reads and checks the platform's settings, with default Ops.
func Parse(text string) (*Config, error) {
	c := &Config{Operator: DefaultOperatorSettings()}
	if _, err := toml.Decode(text, c); err != nil {
		return nil, err
	}
	return c, c.validate()
}

func (c *Config) validate() error {
	if c.MemberName == "" {
		return errors.New("member is missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"client_listen", c.ClientListenAddress}, {"mesh_addr", c.PeerListenAddress},
		{"external.cloud", c.External.Cloud}, {"external.state", c.External.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.field, a.addr)
		}
	}
	seen := map[string]bool{c.MemberName: true}
	for i, p := range c.Peers {
		if p.Name == "" || seen[p.Name] {
			return fmt.Errorf("others[%d].member: %q is empty or named twice", i, p.Name)
		}
		seen[p.Name] = true
		if _, _, err := net.SplitHostPort(p.Address); err != nil {
			return fmt.Errorf("others[%d].endpoint: %q is not host:port", i, p.Address)
		}
	}
	p := &c.Params
	for _, f := range []struct {
		field string
		v     float64
	}{
		{"params.workers.report_s", p.Workers.HeartbeatInterval},
		{"params.workers.lease_s", p.Workers.LeaseDuration},
		{"params.workers.cancel_s", p.Workers.CancellationDeadline},
		{"params.state.rps", p.Store.RequestRate},
		{"params.state.write_rps", p.Store.WriteRate},
		{"params.state.value_kb", p.Store.MaxValueKB},
		{"params.state.txn_ops", float64(p.Store.MaxTxnOps)},
		{"params.cloud.rps", p.Cloud.RequestRate},
		{"params.cloud.list_lag_s", p.Cloud.ListLag},
		{"params.resources.cpu", p.Resources.CPUCores},
		{"params.resources.memory_mb", p.Resources.MemoryMB},
	} {
		if !(f.v > 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("%s must be more than 0", f.field)
		}
	}
	if err := validateStoreSizes("params.state", p.Store.MaxValueKB, p.Store.MaxTxnOps); err != nil {
		return err
	}
	if n := p.Store.Upcoming; n != nil {
		if !(n.WriteRate > 0) || math.IsInf(n.WriteRate, 0) {
			return errors.New("params.state.next.write_rps must be more than 0")
		}
		if n.RequestRate != nil && (!(*n.RequestRate > 0) || math.IsInf(*n.RequestRate, 0)) {
			return errors.New("params.state.next.rps must be more than 0")
		}
		if err := validateStoreSizes("params.state.next", n.MaxValueKB, n.MaxTxnOps); err != nil {
			return err
		}
	}
	if p.Workers.LeaseDuration <= p.Workers.HeartbeatInterval {
		return errors.New("params.workers.lease_s must be longer than report_s")
	}
	// A worker that was last answered just before its node learnt of a
	// cancellation keeps its tasks for lease_s more.
	if p.Workers.CancellationDeadline <= p.Workers.LeaseDuration+2*p.Workers.HeartbeatInterval {
		return errors.New("params.workers.cancel_s must be longer than lease_s by more than two report_s: cancellations could not be kept")
	}
	names := map[wire.TeamName]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("params.teams[%d].name: %q is empty or named twice", i, t.Name)
		}
		names[t.Name] = true
		if t.GuaranteedCPUs < 0 || t.MaxCPUs < 0 || t.GuaranteedGPUs < 0 || t.MaxGPUs < 0 {
			return fmt.Errorf("params.teams[%d]: an amount is negative", i)
		}
	}
	if len(p.Teams) == 0 {
		return errors.New("params.teams is empty")
	}
	return nil
}

func validateStoreSizes(field string, valueKB float64, txnOps int) error {
	if txnOps < minTxnOps {
		return fmt.Errorf("%s.txn_ops must be at least %d", field, minTxnOps)
	}
	if !(valueKB >= minValueKB) || math.IsInf(valueKB, 0) {
		return fmt.Errorf("%s.value_kb must be at least %v: a machine's record would not fit", field, minValueKB)
	}
	return nil
}

// minTxnOps is the largest atomic change the ledger needs: a machine's
// record, a task's done set, the job and one spare.
const minTxnOps = 4

// minValueKB holds a group of one machine with a few tasks, and a job.
const minValueKB = 1.0

// TeamQuota finds a team by name.
func (p *Params) TeamQuota(name wire.TeamName) (TeamQuota, bool) {
	for _, t := range p.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return TeamQuota{}, false
}

// Deadlines lists the times from when it may run by which a job of a class is
// to be done, the earliest first: its own deadline and the multiples of it that
// aims speak of, the finishing aims of its class and, for a job whose tasks run
// for runS, the starting aims that a new machine can keep; or the operators'
// default. Its own count from its submission: waitedS is the time from there on
// that it waited for other jobs.
func (c *Config) Deadlines(class string, own *float64, runS, waitedS float64) []float64 {
	var out []float64
	for _, o := range c.Params.Objectives {
		switch {
		case o.Class != class:
		case o.Kind == "finished" && o.Within > 0:
			out = append(out, o.Within)
		case own != nil && o.Kind == "deadline" && o.DeadlineMultiple > 1:
			out = append(out, *own*o.DeadlineMultiple-waitedS)
		}
	}
	if s, ok := c.AllowedWait(class); ok {
		out = append(out, s+runS)
	}
	switch {
	case own != nil:
		out = append(out, *own-waitedS)
	case len(out) == 0:
		out = append(out, c.Operator.DefaultDeadline)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// HasCompletionObjective tells whether aims say by when work of a class is to be done.
func (c *Config) HasCompletionObjective(class string) bool {
	_, waits := c.AllowedWait(class)
	return waits || slices.ContainsFunc(c.Params.Objectives, func(o Objective) bool {
		return o.Class == class && o.Kind == "finished" && o.Within > 0
	})
}

// StartObjective is the time that the aims give tasks of a class to start, and
// whether an aim says so of the class itself; +Inf if none speaks of it.
func (c *Config) StartObjective(class string) (s float64, own bool) {
	s = math.Inf(1)
	for _, o := range c.Params.Objectives {
		if o.Within > 0 && (o.Kind == "guarantee" || o.Kind == "wait" && o.Class == class) {
			s = math.Min(s, o.Within)
			own = own || o.Kind == "wait"
		}
	}
	return s, own
}

// AllowedWait is how long the aims let tasks of a class wait for their start, where
// they allow the time that a new machine takes.
func (c *Config) AllowedWait(class string) (s float64, ok bool) {
	for _, o := range c.Params.Objectives {
		if o.Kind == "wait" && o.Class == class && o.Within > c.Operator.BootLag && (!ok || o.Within < s) {
			s, ok = o.Within, true
		}
	}
	return s, ok
}

// Seconds turns seconds into a Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
