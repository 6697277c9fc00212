// Package zone names where a machine stands.
package zone

// Place is one failure domain of a region: machines in it can fail together.
type Place struct {
	Region string
	Domain string
}

// String gives the place as region/domain.
func (p Place) String() string {
	return p.Region + "/" + p.Domain
}
