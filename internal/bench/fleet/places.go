package fleet

import (
	"fmt"

	"github.com/clementinewing/clementinewing/internal/world/zone"
)

const (
	// CallOverheadBytes is the overhead of a call beyond its two messages: frames and
	// headers of HTTP/2, TLS, TCP and IP with acknowledgments, both directions.
	CallOverheadBytes = 500

	// ProbeBytes is the size of a probe or its answer, headers included.
	ProbeBytes = 100

	// seedCount is the number of seed balancers in the settings of every node.
	seedCount = 4

	targetBalancers = 18000
	targetEndpoints = 160000
	regionCount     = 8
	domainCount     = 21
)

// Oberbayern lists the places of the smaller deployment.
var Oberbayern = []zone.Place{
	{
		Region: "oberbayern",
		Domain: "muenchen-nord",
	},
	{
		Region: "oberbayern",
		Domain: "freising",
	},
	{
		Region: "oberbayern",
		Domain: "rosenheim",
	},
}

// placeOfMachine spreads machines over the regions and failure domains of the target
// size.
func placeOfMachine(i int) zone.Place {
	domain := i % domainCount
	return zone.Place{
		Region: fmt.Sprintf("region-%d", domain%regionCount),
		Domain: fmt.Sprintf("domain-%d", domain),
	}
}
