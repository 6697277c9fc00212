package stage

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/edge/board"
	fakestore "github.com/clementinewing/clementinewing/internal/fake/store"
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// The operators of every deployment; the first one is the chair.
const (
	Chair    = "alma"
	Operator = "bero"
)

const (
	boardTimeout  = 10 * time.Second
	upstreamShare = 100
)

var errWrongFile = errors.New("the chair's decision did not put its file in force")

// Committee holds the operators' keys and the files that they write.
type Operators struct {
	store *fakestore.Service
	keys  map[string]ed25519.PrivateKey
	base  file.File
	// decided is the last revision that was put in force.
	revision uint64
}

func newCommittee(d Deployment) (c *Operators, err error) {
	defer func() { err = eris.Wrap(err, "making the operators' keys") }()
	c = &Operators{
		store: fakestore.New(),
		keys:  map[string]ed25519.PrivateKey{},
		base:  d.file(),
	}
	for _, name := range []string{Chair, Operator} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return nil, err
		}
		c.keys[name] = private
		c.base.Operators = append(c.base.Operators, file.Operator{
			Name: name,
			Key:  public,
		})
	}
	return c, nil
}

// file is the first file of the deployment.
func (d Deployment) file() (f file.File) {
	f.Name = d.Name
	f.Chair = Chair
	for _, s := range d.Services {
		f.Services = append(f.Services, file.Service{
			Pact: pact.Service{
				Name:     s.Name,
				ID:       pact.Identify(s.Name),
				Address:  s.Address,
				Protocol: pact.TCP,
				Contract: s.Contract,
			},
			WeightOn:     file.BrokenFlows,
			DrainSeconds: drainSeconds,
		})
	}
	return f
}

// withWeight is the deployment's file on a base, with one upstream's weight set.
func (c *Operators) withWeight(base uint64, upstream string, weight uint32) file.File {
	f := c.base
	f.Base = base
	if upstream != "" {
		f.Upstreams = []file.Upstream{
			{
				Name:   upstream,
				Weight: weight,
			},
		}
	}
	return f
}

// apply offers a file as an operator.
func (c *Operators) apply(ctx context.Context, operator string, f file.File) (sign.Proposal, head.Result) {
	p := sign.Proposal{
		File:     f.Name,
		Base:     f.Base,
		Content:  f.Hash(),
		Operator: operator,
	}
	p.Sign(c.keys[operator])
	deadline := time.Now().Add(boardTimeout)
	r := board.Run(ctx, c.store, head.NewApply(f, p, deadline, f.Base))
	if r.Refusal == nil {
		c.revision = r.Revision
	}
	return p, r
}

// decide takes one waiting file as the chair.
func (c *Operators) decide(ctx context.Context, chosen sign.ID) head.Result {
	d := sign.Decision{
		File:     c.base.Name,
		Revision: c.revision,
		Verdict:  sign.Take,
		Chosen:   chosen,
		Settled: []sign.ID{
			chosen,
		},
		Chair: Chair,
	}
	d.Sign(c.keys[Chair])
	r := board.Run(ctx, c.store, chair.New(d, time.Now().Add(boardTimeout), c.revision))
	if r.Refusal == nil {
		c.revision = r.Revision
	}
	return r
}

// Apply puts a file in force that sets one upstream's weight, and waits until it
// is in force at every balancer.
func (s *Stage) Apply(ctx context.Context, upstream string) (err error) {
	defer func() { err = eris.Wrap(err, "applying a file") }()
	_, r := s.operators.apply(ctx, Operator, s.operators.withWeight(s.operators.revision, upstream, upstreamShare))
	if r.Refusal != nil {
		return r.Refusal
	}
	return s.awaitRevision(ctx, s.operators.revision)
}

// Collide lets both operators apply a file on the same base. The second waits
// until the chair takes it as a whole.
func (s *Stage) ApplyConflicting(ctx context.Context, first, second string) (err error) {
	defer func() { err = eris.Wrap(err, "letting two files collide") }()
	c := s.operators
	base := c.revision
	_, r := c.apply(ctx, Operator, c.withWeight(base, first, upstreamShare))
	if r.Refusal != nil {
		return r.Refusal
	}
	p, r := c.apply(ctx, Chair, c.withWeight(base, second, upstreamShare))
	if r.Refusal == nil || r.Refusal.Reason != head.WaitingForChair {
		return eris.Errorf("a file on a passed base was not kept waiting: %v", r.Refusal)
	}
	r = c.decide(ctx, p.ID())
	if r.Refusal != nil {
		return r.Refusal
	}
	err = s.awaitRevision(ctx, c.revision)
	if err != nil {
		return err
	}
	return s.checkOnlyWeight(second)
}

// checkWhole checks that the file in force sets just the given upstream's weight.
func (s *Stage) checkOnlyWeight(upstream string) error {
	for _, b := range s.running() {
		f := b.front.File()
		if len(f.Upstreams) != 1 || f.Upstreams[0].Name != upstream {
			return errWrongFile
		}
	}
	return nil
}

// SetStoreDown takes the store away, or brings it back.
func (s *Stage) SetStoreDown(down bool) {
	s.operators.store.Set(fakestore.Faults{
		Down: down,
	})
}

// AwaitNewest waits until every balancer has the newest file in force.
func (s *Stage) AwaitNewestFile(ctx context.Context) error {
	return s.awaitRevision(ctx, s.operators.revision)
}

func (s *Stage) awaitRevision(ctx context.Context, revision uint64) (err error) {
	defer func() { err = eris.Wrapf(err, "waiting for revision %d at every balancer", revision) }()
	return await(ctx, func() bool {
		for _, b := range s.running() {
			if b.front.State().Revision != revision {
				return false
			}
		}
		return true
	})
}
