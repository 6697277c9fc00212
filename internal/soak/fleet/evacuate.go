package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/soak/plan"
	"github.com/clementinewing/clementinewing/internal/soak/verify"
	"github.com/clementinewing/clementinewing/platform/fake"
)

// features enables every feature in the settings of the processes.
const features = "[features]\nenabled = zone_evacuation, load_shedding, outlier_detection, even_placement\n"

// evacuate evacuates a failure domain and checks that its endpoints get no new flows once the
// evacuation has to hold. One failure domain is evacuated at a time.
func (f *Fleet) evacuate(e plan.Event) {
	f.evacuating.Lock()
	defer f.evacuating.Unlock()
	zone := fake.Zone(e.Target)
	f.Store.Evacuate(zone)
	from := time.Now()
	f.mutex.Lock()
	f.record.Evacuations = append(f.record.Evacuations, verify.Evacuation{
		Zone: zone,
		FaultWindow: verify.FaultWindow{
			From:  from,
			Until: from.Add(e.Duration),
		},
	})
	f.mutex.Unlock()
	time.Sleep(e.Duration)
	until := time.Now()
	for i := range f.sizes.Agents {
		if fake.Zone(i) != zone {
			continue
		}
		f.mutex.Lock()
		endpoint := f.endpoints[i]
		f.mutex.Unlock()
		if endpoint == nil {
			continue
		}
		openings := endpoint.Openings()
		f.Check(func(r *verify.Record) error {
			at := slices.IndexFunc(openings, func(t time.Time) bool { return t.After(from) && r.EvacuatedAt(from, t) && t.Before(until) })
			if at < 0 {
				return nil
			}
			return fmt.Errorf("endpoint %s got a new flow %s after its failure domain was evacuated", endpoint.ID, openings[at].Sub(from))
		})
	}
	f.Store.Withdraw(zone)
}
