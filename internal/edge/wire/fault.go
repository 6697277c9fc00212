package wire

import "errors"

// Fault is why a datagram was not accepted. Its number indexes counters.
type Fault uint8

// Faults of Open.
const (
	// ErrShort is a datagram that ends before its tag.
	ErrShort Fault = iota + 1
	// ErrVersion is a datagram of another format.
	ErrVersion
	// ErrOversized is a datagram longer than MaxBytes.
	ErrOversized
	// ErrMalformed is a header that contradicts itself.
	ErrMalformed
	// ErrEpoch is a key epoch that is not accepted.
	ErrEpoch
	// ErrTag is a tag that does not fit the datagram.
	ErrTag
	// ErrReplayed is a datagram seen before, or older than the replay window.
	ErrReplayed
)

// Faults is one past the highest fault, for arrays of counters.
const Faults = int(ErrReplayed) + 1

// Error implements error.
func (f Fault) Error() string {
	return "datagram " + f.String()
}

// String gives the fault as counters name it.
func (f Fault) String() string {
	switch f {
	case ErrShort:
		return "short"
	case ErrVersion:
		return "version"
	case ErrOversized:
		return "oversized"
	case ErrMalformed:
		return "malformed"
	case ErrEpoch:
		return "epoch_unknown"
	case ErrTag:
		return "tag"
	case ErrReplayed:
		return "replayed"
	default:
		return "unknown"
	}
}

// FaultOf finds the fault in an error of Open; 0 means that it holds none.
func FaultOf(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return 0
}
