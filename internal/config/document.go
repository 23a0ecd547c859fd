package config

import (
	"time"

	"github.com/BurntSushi/toml"
)

// The documents below are the settings as the platform's file has them, with durations as
// numbers. Their own fields hide those of the same name that they embed.

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

// Parse reads and checks the platform's settings. The operators' settings are the defaults.
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

// config converts a document that was validated.
func (d *configDocument) config() *Config {
	c := d.Config
	c.Params = d.Params.params()
	c.Operator = DefaultOperatorSettings()
	return &c
}

func (p *paramsDocument) params() Params {
	converted := p.Params
	converted.ClockSkew = fromSettings(p.ClockSkewMillis, time.Millisecond)
	converted.Workers = WorkerTimings{
		HeartbeatInterval:    fromSettings(p.Workers.HeartbeatInterval, time.Second),
		LeaseDuration:        fromSettings(p.Workers.LeaseDuration, time.Second),
		CancellationDeadline: fromSettings(p.Workers.CancellationDeadline, time.Second),
	}
	converted.Cloud = CloudLimits{RequestRate: p.Cloud.RequestRate, ListLag: fromSettings(p.Cloud.ListLag, time.Second)}
	for _, o := range p.Objectives {
		converted.Objectives = append(converted.Objectives, Objective{
			Kind: o.Kind, Class: o.Class, Within: fromSettings(o.Within, time.Second), Share: o.Share, DeadlineMultiple: o.DeadlineMultiple,
		})
	}
	return converted
}
