package head

import "fmt"

// Reason is why a proposal or a decision did not come in force. It is also the
// tag of the counter that counts it.
type Reason string

const (
	// StoreAway means that no answer came; whether a write took effect is
	// unknown until the next try.
	StoreAway Reason = "store_away"
	// WaitingForChair means that the file collided and the chair has to decide.
	WaitingForChair Reason = "waiting_for_chair"
	// NotChosen means that the chair settled the collision otherwise.
	NotChosen Reason = "not_chosen"
	// PassedBase means that another revision is in force than the one that was
	// built on or decided on.
	PassedBase Reason = "passed_base"
	// UnknownBase means that the base is above the revision in force.
	UnknownBase Reason = "unknown_base"
	// UnknownOperator means that the file in force does not list the signer.
	UnknownOperator Reason = "unknown_operator"
	// UnlistedSigner means that a file does not list its own signer and key.
	UnlistedSigner Reason = "unlisted_signer"
	// BadSignature means that the signature is not by the signer's key.
	BadSignature Reason = "bad_signature"
	// NotYours means that someone other than the chair decided.
	NotYours Reason = "not_yours"
	// ForeignFile means that the file belongs to another deployment.
	ForeignFile Reason = "foreign_file"
	// WaitingFull means that too many files wait already.
	WaitingFull Reason = "waiting_full"
	// NoSuchFile means that a decision names a file that does not wait.
	NoSuchFile Reason = "no_such_file"
	// BadDecision means that a decision contradicts itself.
	BadDecision Reason = "bad_decision"
	// BadContent means that the store holds something that is no valid head,
	// manifest or file.
	BadContent Reason = "bad_content"
)

// Reasons lists every reason, for counters and documentation.
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

// RefusalError is a reason with what an operator has to know about it.
type RefusalError struct {
	Reason Reason
	Detail string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
}

// Refuse makes a refusal.
func Refuse(reason Reason, format string, arguments ...any) *RefusalError {
	return &RefusalError{
		Reason: reason,
		Detail: fmt.Sprintf(format, arguments...),
	}
}
