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

// Spend takes the token of a hand-over on an opening's first walk along its
// list, or tells that there is none.
func (b *Budget) Spend() bool {
	return b.spend(1)
}

// SpendAgain takes the token of a hand-over of an opening that was refused by
// all and waited. Half of the burst is kept back for first walks.
func (b *Budget) SpendAgain() bool {
	return b.spend(1 + b.burst/2)
}

func (b *Budget) spend(least float64) bool {
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}
