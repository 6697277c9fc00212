// Package zone identifies the failure domain of a machine.
package zone

// Place is a failure domain within a region. Machines in it can fail together.
type Place struct {
	Region string
	Domain string
}

// String returns the place as REGION/DOMAIN.
func (p Place) String() string {
	return p.Region + "/" + p.Domain
}
