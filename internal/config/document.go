package config

import (
	"time"

	"github.com/BurntSushi/toml"
)

// The types below mirror the platform's settings file, with durations as numbers. Fields that
// need conversion shadow those of the same name in the embedded struct.

type configDocument struct {
	Config
	Params paramsDocument `toml:"params"`
}

type paramsDocument struct {
	Params
	ClockSkewMillis float64               `toml:"skew_ms"`
	Objectives      []objectiveDocument   `toml:"objectives"`
	Workers         workerTimingsDocument `toml:"workers"`
	Cloud           cloudLimitsDocument   `toml:"cloud"`
}

type objectiveDocument struct {
	Kind             ObjectiveKind `toml:"kind"`
	Class            string        `toml:"class"`
	Within           float64       `toml:"within_s"`
	Share            float64       `toml:"share"`
	DeadlineMultiple float64       `toml:"times"`
}

type workerTimingsDocument struct {
	HeartbeatInterval    float64 `toml:"report_s"`
	LeaseDuration        float64 `toml:"lease_s"`
	CancellationDeadline float64 `toml:"cancel_s"`
}

type cloudLimitsDocument struct {
	RequestRate float64 `toml:"rps"`
	ListLag     float64 `toml:"list_lag_s"`
}

// Parse decodes and validates the platform's settings. The operators' settings are the defaults.
func Parse(text string) (*Config, error) {
	var document configDocument
	if _, err := toml.Decode(text, &document); err != nil {
		return nil, err
	}
	if err := document.validate(); err != nil {
		return nil, err
	}
	return document.config(), nil
}

// config converts a validated document.
func (d *configDocument) config() *Config {
	c := d.Config
	c.Params = d.Params.params()
	c.Operator = DefaultOperatorSettings()
	return &c
}

func (p *paramsDocument) params() Params {
	converted := p.Params
	converted.ClockSkew = durationFromSettings(p.ClockSkewMillis, time.Millisecond)
	converted.Workers = WorkerTimings{
		HeartbeatInterval:    durationFromSettings(p.Workers.HeartbeatInterval, time.Second),
		LeaseDuration:        durationFromSettings(p.Workers.LeaseDuration, time.Second),
		CancellationDeadline: durationFromSettings(p.Workers.CancellationDeadline, time.Second),
	}
	converted.Cloud = CloudLimits{RequestRate: p.Cloud.RequestRate, ListLag: durationFromSettings(p.Cloud.ListLag, time.Second)}
	for _, o := range p.Objectives {
		converted.Objectives = append(converted.Objectives, Objective{
			Kind: o.Kind, Class: o.Class, Within: durationFromSettings(o.Within, time.Second), Share: o.Share, DeadlineMultiple: o.DeadlineMultiple,
		})
	}
	return converted
}
