package lease

import (
	"net/netip"
	"time"
)

const (
	// RenewInterval is the time between two renewals of an unchanged record.
	RenewInterval = 4 * time.Second
	// RetryInterval is the time before an unanswered renewal is sent again.
	RetryInterval = time.Second
	// Life is how long a home holds a lease after a renewal.
	Life = 12 * time.Second
	// vouchLife is how long after a renewal a home says that it has heard.
	vouchLife = 2*RenewInterval + time.Second
	// AskLife is how long a home waits for the other homes of a lapsed record.
	AskLife = 1500 * time.Millisecond
	// SuspicionLife is how long a suspect record stays before it is absent.
	SuspicionLife = 30 * time.Second
	// TombstoneLife is how long gone and absent records are remembered.
	TombstoneLife = 2 * time.Hour
	// WakeSlack is how late a tick may come before the node counts as paused.
	WakeSlack = time.Second
)

// Renew announces the records of one process to a home balancer.
type Renew struct {
	Records []Record
}

// RenewReply answers a Renew.
type RenewReply struct {
	// Verdicts has one entry for each record of the Renew, in its order.
	Verdicts []Verdict
	// Homes are the control addresses of the balancers to renew with, the
	// homes first, then the spares.
	Homes []netip.AddrPort
	// Revision and Record name the file in force at the balancer: its revision
	// and the hash of its record, zero and empty before the first.
	Revision uint64
	Record   string
}

// Verdict is what a home balancer knows of an announced record.
type Verdict struct {
	Key     Key
	Version Version
}
