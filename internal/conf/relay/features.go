package relay

import (
	"slices"
	"strings"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
)

// Features holds the decisions that a deployment switches on. Without them placement and
// admission look at load alone.
type Features struct {
	// ZoneEvacuation keeps new flows out of the failure domains that operators evacuate and
	// limits the new flows of cold endpoints.
	ZoneEvacuation bool
	// LoadShedding refuses new flows at once that cannot be served in time.
	LoadShedding bool
	// OutlierDetection places fewer new flows on endpoints that are slow or fail.
	OutlierDetection bool
	// EvenPlacement places new flows by load estimates that account for their age.
	EvenPlacement bool
}

// Words of the features in the settings.
const (
	WordZoneEvacuation   = "zone_evacuation"
	WordLoadShedding     = "load_shedding"
	WordOutlierDetection = "outlier_detection"
	WordEvenPlacement    = "even_placement"
)

// Default and bounds of the limits of a cold endpoint.
const (
	defaultColdOverage = 1.0
	minColdOverage     = 0.001
	maxColdOverage     = 100.0
	maxColdSlack       = 1_000_000
)

// FeatureNames translates a platform's words into those of this package. A word without an entry
// names something else of the platform and is ignored.
type FeatureNames map[string][]string

func (f *Features) enable(word string) (known bool) {
	switch word {
	case WordZoneEvacuation:
		f.ZoneEvacuation = true
	case WordLoadShedding:
		f.LoadShedding = true
	case WordOutlierDetection:
		f.OutlierDetection = true
	case WordEvenPlacement:
		f.EvenPlacement = true
	default:
		return false
	}
	return true
}

// readFeatures reads the list of enabled features. Without a platform's names, an unknown word is
// a fault.
func readFeatures(p *lines.Section, s *Settings, names FeatureNames) {
	const key = "enabled"
	text, _ := p.Text(key)
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		for _, w := range append(slices.Clone(names[word]), word) {
			if !s.Features.enable(w) && names == nil {
				p.RejectValue(key, word, "a list of features: "+strings.Join([]string{
					WordZoneEvacuation,
					WordLoadShedding,
					WordOutlierDetection,
					WordEvenPlacement,
				}, ", "))
			}
		}
	}
}

// readCold reads the limits of a cold endpoint.
func readCold(p *lines.Section, s *Settings) {
	s.ColdOverage = p.Decimal("overage", lines.DecimalLimits{
		Min:     minColdOverage,
		Max:     maxColdOverage,
		Default: defaultColdOverage,
	})
	s.ColdSlack = p.Decimal("slack", lines.DecimalLimits{
		Max: maxColdSlack,
	})
}
