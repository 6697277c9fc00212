package entry

import "github.com/clementinewing/clementinewing/internal/relay/router"

// recordCapacity logs that an endpoint gets fewer new flows than its slots allow, or as many again.
func (b *Balancer) recordCapacity(c router.CapacityChanged) {
	if c.Capacity < 1 {
		b.counts.outliers++
	}
	b.log.Important.Info().
		Str("side", c.Host.String()).
		Uint64("service_id", uint64(c.Service)).
		Float64("capacity", c.Capacity).
		Uint16("service_time_ms", c.ServiceTimeMS).
		Uint16("median_ms", c.MedianMS).
		Msg("endpoint capacity changed")
}
