package demander_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/duty/demander"
)

// TestReportSize keeps what messages carry for the number of servers small at 400 instances in 27 zones:
// a message carries one report, and those of a watcher to the holder one for each zone.
func TestReportSize(t *testing.T) {
	services := map[declaration.ServiceName]demander.Demand{"language-models": {Requests: 640, Work: 180_000}}
	own := &demander.Report{Instances: 1, Services: services}
	zones := map[declaration.ZoneName]demander.Report{}
	for i := range 27 {
		zones[declaration.ZoneName(fmt.Sprintf("hu-central-%02d", i))] = demander.Report{Instances: 15, Services: services, Age: 700}
	}
	size := func(v any) int {
		var out bytes.Buffer
		encoder := gob.NewEncoder(&out)
		if err := encoder.Encode(v); err != nil { // with the description of the types, which a connection carries once
			t.Fatal(err)
		}
		described := out.Len()
		_ = encoder.Encode(v) // it was encoded before
		return out.Len() - described
	}
	ownBytes, zoneBytes := size(own), size(zones)
	t.Logf("own report %d bytes, sums of 27 zones %d bytes", ownBytes, zoneBytes)
	if ownBytes > 64 || zoneBytes > 27*64 {
		t.Errorf("own report %d bytes, sums of 27 zones %d bytes; want 64 for each", ownBytes, zoneBytes)
	}
}
