package wire

import "errors"

// Fault is the reason why a datagram was rejected. Its value is an index of
// counters.
type Fault uint8

// Faults that Open returns.
const (
	// ErrShort means that the datagram ends before the end of its tag.
	ErrShort Fault = iota + 1
	// ErrVersion means that the format version is unknown.
	ErrVersion
	// ErrOversized means that the datagram is longer than MaxBytes.
	ErrOversized
	// ErrMalformed means that fields of the header contradict each other or the
	// length of the datagram.
	ErrMalformed
	// ErrEpoch means that no key of this epoch is accepted.
	ErrEpoch
	// ErrTag means that the authentication tag does not match the datagram.
	ErrTag
	// ErrReplayed means that the datagram was received before or is older than the
	// replay window.
	ErrReplayed
)

// FaultCount is one more than the highest fault, as the length of arrays of
// counters.
const FaultCount = int(ErrReplayed) + 1

// Error implements error.
func (f Fault) Error() string {
	return "datagram " + f.String()
}

// String returns the name of the fault in counters.
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

// FaultOf returns the fault that an error of Open wraps, or 0 if there is none.
func FaultOf(err error) Fault {
	var f Fault
	if errors.As(err, &f) {
		return f
	}
	return 0
}
