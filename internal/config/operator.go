package config

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"
)

//go:embed operators.schema.json
var operatorSettingsSchema []byte

//go:embed operators.default.json
var operatorSettingsDefaults []byte

// OperatorSettings are the operators' own settings. The schema beside this file says what
// each means; ratios refer to figures of the platform's settings.
type OperatorSettings struct {
	PlanningInterval      float64 `json:"pass_s"`
	BootLag               float64 `json:"boot_lag_s"`
	BillingPeriod         float64 `json:"billing_period_s"`
	DefaultDeadline       float64 `json:"default_deadline_s"`
	MemberLeaseHeartbeats float64 `json:"member_lease_reports"`
	UnreachableHeartbeats float64 `json:"silence_reports"`
	HeadroomShare         float64 `json:"headroom_share"`
	MaxPriceMultiple      float64 `json:"premium"`
	SchedulerWriteShare   float64 `json:"state_share"`
	CloudRateShare        float64 `json:"cloud_share"`
	BootTimeoutMultiple   float64 `json:"boot_patience"`

	// Sections switch features on that are off when they are absent.
	ZoneRecovery *ZoneRecovery `json:"zone_recovery,omitempty"`
	Standby      *Standby      `json:"standby,omitempty"`
}

// DefaultOperatorSettings are the embedded defaults.
func DefaultOperatorSettings() OperatorSettings {
	var o OperatorSettings
	if err := json.Unmarshal(operatorSettingsDefaults, &o); err != nil {
		panic(err) // the embedded file is checked by a test
	}
	return o
}

func loadOperatorSettings(path string) (OperatorSettings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("operators' settings: %w", err)
	}
	o, err := ParseOperatorSettings(b)
	if err != nil {
		return OperatorSettings{}, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperatorSettings checks the operators' settings against the schema and lays them
// over the defaults.
func ParseOperatorSettings(b []byte) (OperatorSettings, error) {
	var document any
	if err := json.Unmarshal(b, &document); err != nil {
		return OperatorSettings{}, fmt.Errorf("not JSON: %w", err)
	}
	var schema jsonschema.Schema
	if err := json.Unmarshal(operatorSettingsSchema, &schema); err != nil {
		return OperatorSettings{}, err
	}
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return OperatorSettings{}, err
	}
	if err := resolved.Validate(document); err != nil {
		return OperatorSettings{}, errors.New(describeSchemaViolation(err))
	}
	ops := DefaultOperatorSettings()
	return ops, json.Unmarshal(b, &ops)
}

// describeSchemaViolation names the offending path from the document's root, "/".
func describeSchemaViolation(invalid error) string {
	return strings.Replace(invalid.Error(), "validating root", "/", 1)
}
