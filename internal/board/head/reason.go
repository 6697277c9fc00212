package head

import "fmt"

// Reason is why a proposal or a decision was refused. It is also used as the label of
// the refusal counter.
type Reason string

const (
	// StoreAway means that the store did not answer. Whether a write took effect is
	// unknown until the next attempt.
	StoreAway Reason = "store_away"
	// WaitingForChair means that the file collided with another and is waiting for a
	// decision of the chair.
	WaitingForChair Reason = "waiting_for_chair"
	// NotChosen means that the chair resolved the collision without choosing the file.
	NotChosen Reason = "not_chosen"
	// PassedBase means that the history no longer reaches back to the base of the file,
	// that a decision was made at another revision than the one in force, or that a
	// node has the same or a later revision active.
	PassedBase Reason = "passed_base"
	// UnknownBase means that the base is higher than the revision in force.
	UnknownBase Reason = "unknown_base"
	// UnknownOperator means that the file in force does not list the signer.
	UnknownOperator Reason = "unknown_operator"
	// UnlistedSigner means that the file does not list its signer with the key used.
	UnlistedSigner Reason = "unlisted_signer"
	// BadSignature means that the signature does not match the signer's key.
	BadSignature Reason = "bad_signature"
	// NotYours means that the signer of a decision is not the chair.
	NotYours Reason = "not_yours"
	// ForeignFile means that the file belongs to another deployment.
	ForeignFile Reason = "foreign_file"
	// WaitingFull means that MaxWaiting files are already waiting.
	WaitingFull Reason = "waiting_full"
	// NoSuchFile means that a decision lists no files or one that is not waiting.
	NoSuchFile Reason = "no_such_file"
	// BadDecision means that a decision is inconsistent.
	BadDecision Reason = "bad_decision"
	// BadContent means that data from the store or a peer is not a valid head,
	// record, manifest or file.
	BadContent Reason = "bad_content"
)

// Reasons returns all reasons, for counters and documentation.
func Reasons() []Reason {
	return []Reason{
		StoreAway,
		WaitingForChair,
		NotChosen,
		PassedBase,
		UnknownBase,
		UnknownOperator,
		UnlistedSigner,
		BadSignature,
		NotYours,
		ForeignFile,
		WaitingFull,
		NoSuchFile,
		BadDecision,
		BadContent,
	}
}

// RefusalError is a refusal with its reason and the details for the operator.
type RefusalError struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// NewRefusal returns a refusal with a formatted detail text.
func NewRefusal(reason Reason, format string, arguments ...any) *RefusalError {
	return &RefusalError{
		Reason: reason,
		Detail: fmt.Sprintf(format, arguments...),
	}
}
