package lease

import (
	"net/netip"
	"time"
)

const (
	// RenewInterval is the period between renewals of an unchanged record.
	RenewInterval = 4 * time.Second
	// RetryInterval is the delay before an unanswered renewal is sent again.
	RetryInterval = time.Second
	// LeaseTTL is how long a home holds a lease after a renewal.
	LeaseTTL = 12 * time.Second
	// heardTTL is how long after a renewal the announcer counts as recently heard.
	heardTTL = 2*RenewInterval + time.Second
	// QueryTimeout is how long a home waits for answers from the endpoint and the other
	// homes of a record with an expired lease.
	QueryTimeout = 1500 * time.Millisecond
	// SuspectTTL is how long a record stays suspect before it becomes absent.
	SuspectTTL = 30 * time.Second
	// TombstoneTTL is how long gone and absent records are kept.
	TombstoneTTL = 2 * time.Hour
	// PauseThreshold is the time since the previous tick after which a tick means that
	// the node was paused.
	PauseThreshold = time.Second
)

// Renew announces the records of one process to a home balancer.
type Renew struct {
	Records []Record
}

// RenewReply answers a Renew.
type RenewReply struct {
	// Verdicts has one entry for each record of the Renew, in the same order.
	Verdicts []Verdict
	// Homes are the control addresses of the balancers to renew with: first the
	// homes, then the spares.
	Homes []netip.AddrPort
	// Revision and Record identify the configuration file in force at the balancer:
	// its revision and the hash of its record. They are zero and empty before the
	// first file.
	Revision   uint64
	RecordHash string
}

// Verdict is the version that a home balancer has of an announced record.
type Verdict struct {
	Key     Key
	Version Version
}
