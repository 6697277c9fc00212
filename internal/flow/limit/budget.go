package limit

// Budget limits how often new flows are forwarded: each flow that reaches this
// endpoint first adds a fixed number of tokens, and each forward spends one (the
// retry budget of Finagle, 2015, with forwards in place of retries).
type Budget struct {
	tokensPerFlow float64
	burst         float64
	tokens        float64
}

// NewBudget returns a full budget. tokensPerFlow is in forwards per new flow; burst is
// the greatest number of tokens kept.
func NewBudget(tokensPerFlow, burst float64) *Budget {
	return &Budget{
		tokensPerFlow: tokensPerFlow,
		burst:         burst,
		tokens:        burst,
	}
}

// AddTokens adds the tokens of one new flow.
func (b *Budget) AddTokens() {
	b.tokens = min(b.burst, b.tokens+b.tokensPerFlow)
}

// Spend spends a token to forward a flow in the first round over its candidate list.
// It reports whether there was one.
func (b *Budget) Spend() bool {
	return b.spend(1)
}

// SpendAfterWait spends a token to forward a flow that all candidates rejected and
// that was then queued. It leaves half of the burst for first rounds.
func (b *Budget) SpendAfterWait() bool {
	return b.spend(1 + b.burst/2)
}

func (b *Budget) spend(minTokens float64) bool {
	if b.tokens < minTokens {
		return false
	}
	b.tokens--
	return true
}
