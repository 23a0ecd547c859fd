package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/jsonschema-go/jsonschema"
)

//go:embed operators.schema.json
var operatorSettingsSchema []byte

//go:embed operators.default.json
var operatorSettingsDefaults []byte

// OperatorSettings are the operators' settings. operators.schema.json describes each of them.
// Numbers of heartbeats and shares of rates are relative to the platform's settings.
type OperatorSettings struct {
	PlanningInterval      time.Duration
	BootLag               time.Duration
	BillingPeriod         time.Duration
	DefaultDeadline       time.Duration
	MemberLeaseHeartbeats float64
	UnreachableHeartbeats float64
	HeadroomShare         float64
	MaxPriceMultiple      float64
	SchedulerWriteShare   float64
	CloudRateShare        float64
	BootTimeoutMultiple   float64

	// Optional features; nil: disabled.
	ZoneRecovery *ZoneRecovery
	Standby      *Standby
}

// PlanningIntervals returns n times the planning interval.
func (o *OperatorSettings) PlanningIntervals(n float64) time.Duration {
	return scaleDuration(o.PlanningInterval, n)
}

// operatorSettingsDocument mirrors the operators' settings file, with durations as numbers.
type operatorSettingsDocument struct {
	PlanningIntervalSeconds float64       `json:"pass_s"`
	BootLagSeconds          float64       `json:"boot_lag_s"`
	BillingPeriodSeconds    float64       `json:"billing_period_s"`
	DefaultDeadlineSeconds  float64       `json:"default_deadline_s"`
	MemberLeaseHeartbeats   float64       `json:"member_lease_reports"`
	UnreachableHeartbeats   float64       `json:"silence_reports"`
	HeadroomShare           float64       `json:"headroom_share"`
	MaxPriceMultiple        float64       `json:"premium"`
	SchedulerWriteShare     float64       `json:"state_share"`
	CloudRateShare          float64       `json:"cloud_share"`
	BootTimeoutMultiple     float64       `json:"boot_patience"`
	ZoneRecovery            *ZoneRecovery `json:"zone_recovery,omitempty"`
	Standby                 *Standby      `json:"standby,omitempty"`
}

func (d *operatorSettingsDocument) settings() OperatorSettings {
	return OperatorSettings{
		PlanningInterval:      durationFromSettings(d.PlanningIntervalSeconds, time.Second),
		BootLag:               durationFromSettings(d.BootLagSeconds, time.Second),
		BillingPeriod:         durationFromSettings(d.BillingPeriodSeconds, time.Second),
		DefaultDeadline:       durationFromSettings(d.DefaultDeadlineSeconds, time.Second),
		MemberLeaseHeartbeats: d.MemberLeaseHeartbeats,
		UnreachableHeartbeats: d.UnreachableHeartbeats,
		HeadroomShare:         d.HeadroomShare,
		MaxPriceMultiple:      d.MaxPriceMultiple,
		SchedulerWriteShare:   d.SchedulerWriteShare,
		CloudRateShare:        d.CloudRateShare,
		BootTimeoutMultiple:   d.BootTimeoutMultiple,
		ZoneRecovery:          d.ZoneRecovery,
		Standby:               d.Standby,
	}
}

// DefaultOperatorSettings returns the embedded defaults.
func DefaultOperatorSettings() OperatorSettings {
	d := defaultOperatorSettingsDocument()
	return d.settings()
}

func defaultOperatorSettingsDocument() operatorSettingsDocument {
	var d operatorSettingsDocument
	if err := json.Unmarshal(operatorSettingsDefaults, &d); err != nil {
		panic(err) // can't happen: TestOperatorsSettings checks the embedded file
	}
	return d
}

func loadOperatorSettings(path string) (OperatorSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("operators' settings: %w", err)
	}
	o, err := ParseOperatorSettings(text)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperatorSettings validates the operators' settings against their schema. Missing fields
// get their defaults.
func ParseOperatorSettings(text []byte) (OperatorSettings, error) {
	if err := validateSchema(text); err != nil {
		return OperatorSettings{}, err
	}
	d := defaultOperatorSettingsDocument()
	if err := json.Unmarshal(text, &d); err != nil {
		return OperatorSettings{}, err
	}
	return d.settings(), nil
}

// validateSchema validates the operators' settings against their schema.
func validateSchema(text []byte) error {
	var document any
	if err := json.Unmarshal(text, &document); err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	var schema jsonschema.Schema
	if err := json.Unmarshal(operatorSettingsSchema, &schema); err != nil {
		return err
	}
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return err
	}
	if err := resolved.Validate(document); err != nil {
		return &SchemaError{Err: err}
	}
	return nil
}

// describeSchemaViolation returns the validator's message with the document's root written as "/".
func describeSchemaViolation(err error) string {
	return strings.Replace(err.Error(), "validating root", "/", 1)
}

// validateAgainst validates the operators' settings against the platform's.
func (o *OperatorSettings) validateAgainst(w WorkerTimings) error {
	if o.ZoneRecovery != nil {
		return o.ZoneRecovery.validateAgainst(w)
	}
	return nil
}
