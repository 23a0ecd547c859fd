package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed operators.schema.json
var opsSchema []byte

//go:embed operators.default.json
var opsDefault []byte

// Ops are the operators' own settings. The schema beside this file says what
// each means; ratios refer to figures of the platform's settings.
type Ops struct {
	PassS            float64 `json:"pass_s"`
	BootLagS         float64 `json:"boot_lag_s"`
	BillingPeriodS   float64 `json:"billing_period_s"`
	DefaultDeadlineS float64 `json:"default_deadline_s"`
	MemberLease      float64 `json:"member_lease_reports"`
	Silence          float64 `json:"silence_reports"`
	Headroom         float64 `json:"headroom_share"`
	Premium          float64 `json:"premium"`
	StateShare       float64 `json:"state_share"`
	CloudShare       float64 `json:"cloud_share"`
	BootPatience     float64 `json:"boot_patience"`
}

// DefaultOps are the embedded defaults.
func DefaultOps() Ops {
	var o Ops
	if err := json.Unmarshal(opsDefault, &o); err != nil {
		panic(err) // the embedded file is checked by a test
	}
	return o
}

func loadOps(path string) (Ops, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Ops{}, fmt.Errorf("operators' settings: %w", err)
	}
	o, err := ParseOps(b)
	if err != nil {
		return Ops{}, fmt.Errorf("operators' settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOps checks the operators' settings against the schema and lays them
// over the defaults.
func ParseOps(b []byte) (Ops, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(b))
	if err != nil {
		return Ops{}, fmt.Errorf("not JSON: %w", err)
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(opsSchema))
	if err != nil {
		return Ops{}, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operators.schema.json", schema); err != nil {
		return Ops{}, err
	}
	s, err := c.Compile("operators.schema.json")
	if err != nil {
		return Ops{}, err
	}
	if err := s.Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if errors.As(err, &v) {
			return Ops{}, errors.New(describe(v))
		}
		return Ops{}, err
	}
	o := DefaultOps()
	return o, json.Unmarshal(b, &o)
}

// describe names the innermost offending path.
func describe(v *jsonschema.ValidationError) string {
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	lines := strings.Split(v.Error(), "\n")
	return fmt.Sprintf("/%s: %s", strings.Join(v.InstanceLocation, "/"),
		strings.TrimSpace(lines[len(lines)-1]))
}
