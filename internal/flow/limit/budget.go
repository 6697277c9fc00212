package limit

// Budget bounds how often openings are handed on: each opening that comes first
// to this endpoint earns a fixed number of tokens, each hand-over spends one
// (the retry budget of Finagle, 2015, with hand-overs in place of retries).
type Budget struct {
	perOpening float64
	burst      float64
	tokens     float64
}

// NewBudget starts full. perOpening is in hand-overs an opening, burst is the
// greatest number of tokens kept.
func NewBudget(perOpening, burst float64) *Budget {
	return &Budget{
		perOpening: perOpening,
		burst:      burst,
		tokens:     burst,
	}
}

// Earn adds the tokens of one opening.
func (b *Budget) Earn() {
	b.tokens = min(b.burst, b.tokens+b.perOpening)
}

// Spend takes the token of one hand-over, or tells that there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
