package deploy

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
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Names of the operators of every deployment. Chair is also the chair.
const (
	Chair    = "alma"
	Operator = "bero"
)

const (
	boardTimeout  = 10 * time.Second
	upstreamShare = 100
)

var errWrongFile = errors.New("the file in force is not the one that the chair chose")

// Operators holds the keys of the operators and applies their files.
type Operators struct {
	store *fakestore.Service
	keys  map[string]ed25519.PrivateKey
	base  file.File
	// revision is the last revision that was put in force.
	revision uint64
}

func newCommittee(d Deployment) (c *Operators, err error) {
	defer func() { err = eris.Wrap(err, "generating the keys of the operators") }()
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

// file returns the first file of the deployment, without its operators.
func (d Deployment) file() (f file.File) {
	f.Name = d.Name
	f.Chair = Chair
	for _, s := range d.Services {
		f.Services = append(f.Services, file.Service{
			Spec: spec.Service{
				Name:     s.Name,
				ID:       spec.NewServiceID(s.Name),
				Address:  s.Address,
				Protocol: spec.TCP,
				Contract: s.Contract,
			},
			WeightOn:     file.BrokenFlows,
			DrainSeconds: drainSeconds,
		})
	}
	return f
}

// withWeight returns the file of the deployment with the given base revision and the
// weight of one upstream. An empty upstream sets no weight.
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

// apply proposes a file as an operator.
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

// decide accepts one waiting proposal as the chair.
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

// Apply applies a file that sets the weight of one upstream, and waits until the file
// is in force at every balancer.
func (s *RunningDeployment) Apply(ctx context.Context, upstream string) (err error) {
	defer func() { err = eris.Wrap(err, "applying a file") }()
	_, r := s.operators.apply(ctx, Operator, s.operators.withWeight(s.operators.revision, upstream, upstreamShare))
	if r.Refusal != nil {
		return r.Refusal
	}
	return s.awaitRevision(ctx, s.operators.revision)
}

// ApplyConflicting makes both operators apply a file with the same base. The second
// proposal waits until the chair accepts it; its file then replaces the first one
// entirely.
func (s *RunningDeployment) ApplyConflicting(ctx context.Context, first, second string) (err error) {
	defer func() { err = eris.Wrap(err, "applying two conflicting files") }()
	c := s.operators
	base := c.revision
	_, r := c.apply(ctx, Operator, c.withWeight(base, first, upstreamShare))
	if r.Refusal != nil {
		return r.Refusal
	}
	p, r := c.apply(ctx, Chair, c.withWeight(base, second, upstreamShare))
	if r.Refusal == nil || r.Refusal.Reason != head.WaitingForChair {
		return eris.Errorf("a file with an outdated base does not wait for the chair: %v", r.Refusal)
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

// checkOnlyWeight checks that the file in force at every balancer sets the weight of the
// given upstream and no other.
func (s *RunningDeployment) checkOnlyWeight(upstream string) error {
	for _, b := range s.running() {
		f := b.front.File()
		if len(f.Upstreams) != 1 || f.Upstreams[0].Name != upstream {
			return errWrongFile
		}
	}
	return nil
}

// SetStoreDown makes the store fail every call, or ends the failure.
func (s *RunningDeployment) SetStoreDown(down bool) {
	s.operators.store.SetFaults(fakestore.Faults{
		Down: down,
	})
}

// AwaitNewestFile waits until the newest file is in force at every balancer.
func (s *RunningDeployment) AwaitNewestFile(ctx context.Context) error {
	return s.awaitRevision(ctx, s.operators.revision)
}

func (s *RunningDeployment) awaitRevision(ctx context.Context, revision uint64) (err error) {
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
