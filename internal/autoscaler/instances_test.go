package autoscaler

import (
	"testing"

	"lynxledge/internal/config"
)

// Listing the instances of a large deployment leaves most of the request rate to the cloud for
// provisioning; those of a small one are listed in every planning cycle.
func TestListingLeavesCallsForProvisioning(t *testing.T) {
	for _, requestRate := range []float64{3, 10} {
		cfg := &config.Config{Operator: config.DefaultOperatorSettings()}
		cfg.Params.Cloud.RequestRate = requestRate
		if interval := listInterval(cfg, 250); interval > cfg.Operator.PlanningInterval {
			t.Errorf("at %v calls a second a list of one page is read every %v", requestRate, interval)
		}
		const pages = 9
		calls := pages / listInterval(cfg, 4000).Seconds()
		if maxCalls := requestRate * cfg.Operator.CloudRateShare / 3; calls > maxCalls {
			t.Errorf("%.2f of %v calls a second go to the list", calls, requestRate)
		}
	}
}
