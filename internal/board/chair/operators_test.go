package chair_test

import (
	"crypto/ed25519"
	"net/netip"
	"sync"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// operatorNames are the operators in all files of these tests; alma is the chair.
var operatorNames = []string{"alma", "bero", "cilli"}

// Keys, proposals and decisions are cached, because the matrix needs each many times.
var (
	cacheMutex  sync.Mutex
	privateKeys = map[string]ed25519.PrivateKey{}
	proposals   = map[sign.ID]sign.Proposal{}
	decisions   = map[sign.ID]sign.Decision{}
)

func privateKey(name string) ed25519.PrivateKey {
	cacheMutex.Lock()
	defer cacheMutex.Unlock()
	key, ok := privateKeys[name]
	if !ok {
		seed := make([]byte, ed25519.SeedSize)
		copy(seed, name)
		key = ed25519.NewKeyFromSeed(seed)
		privateKeys[name] = key
	}
	return key
}

// draft returns a file with one service, whose slots make variants differ.
func draft(base uint64, variant uint32) file.File {
	f := file.File{
		Name:  "suedhang",
		Base:  base,
		Chair: "alma",
	}
	for _, n := range operatorNames {
		f.Operators = append(f.Operators, file.Operator{
			Name: n,
			Key:  privateKey(n).Public().(ed25519.PublicKey),
		})
	}
	f.Services = []file.Service{
		{
			Spec: spec.Service{
				Name:     "dienstplan",
				ID:       spec.NewServiceID("dienstplan"),
				Address:  netip.MustParseAddrPort("10.7.0.1:443"),
				Protocol: spec.TCP,
				Contract: spec.Once,
			},
			WeightOn: file.BrokenFlows,
			Slots:    variant,
		},
	}
	return f
}

func signedProposal(f file.File, operator string) sign.Proposal {
	p := sign.Proposal{
		File:     f.Name,
		Base:     f.Base,
		Content:  f.Hash(),
		Operator: operator,
	}
	id, key := p.ID(), privateKey(operator)
	cacheMutex.Lock()
	defer cacheMutex.Unlock()
	if _, ok := proposals[id]; !ok {
		p.Sign(key)
		proposals[id] = p
	}
	return proposals[id]
}

func takeDecision(revision uint64, chosen sign.ID, others ...sign.ID) sign.Decision {
	d := sign.Decision{
		File:     "suedhang",
		Revision: revision,
		Verdict:  sign.Take,
		Chosen:   chosen,
		Settled:  append([]sign.ID{chosen}, others...),
		Chair:    "alma",
	}
	return signDecision(d)
}

func keepDecision(revision uint64, dropped ...sign.ID) sign.Decision {
	d := sign.Decision{
		File:     "suedhang",
		Revision: revision,
		Verdict:  sign.Keep,
		Settled:  dropped,
		Chair:    "alma",
	}
	return signDecision(d)
}

func signDecision(d sign.Decision) sign.Decision {
	id, key := d.ID(), privateKey(d.Chair)
	cacheMutex.Lock()
	defer cacheMutex.Unlock()
	if _, ok := decisions[id]; !ok {
		d.Sign(key)
		decisions[id] = d
	}
	return decisions[id]
}

func newApply(f file.File, operator string, deadline time.Time) *head.Apply {
	return head.NewApply(f, signedProposal(f, operator), deadline, 1)
}

func newDecide(d sign.Decision, deadline time.Time) *chair.Machine {
	return chair.New(d, deadline, 1)
}
