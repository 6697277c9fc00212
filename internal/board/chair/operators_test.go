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
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// names are the operators of every file of these tests; alma is the chair.
var names = []string{"alma", "bero", "cilli"}

// keys and signed are kept, as the matrix would make each of them many times.
var (
	lock   sync.Mutex
	keys   = map[string]ed25519.PrivateKey{}
	signed = map[sign.ID]sign.Proposal{}
	ruled  = map[sign.ID]sign.Decision{}
)

func private(name string) ed25519.PrivateKey {
	lock.Lock()
	defer lock.Unlock()
	key, ok := keys[name]
	if !ok {
		seed := make([]byte, ed25519.SeedSize)
		copy(seed, name)
		key = ed25519.NewKeyFromSeed(seed)
		keys[name] = key
	}
	return key
}

// draft is a file with one service that tells drafts apart by its slots.
func draft(base uint64, mark uint32) file.File {
	f := file.File{
		Name:  "suedhang",
		Base:  base,
		Chair: "alma",
	}
	for _, n := range names {
		f.Operators = append(f.Operators, file.Operator{
			Name: n,
			Key:  private(n).Public().(ed25519.PublicKey),
		})
	}
	f.Services = []file.Service{
		{
			Pact: pact.Service{
				Name:     "dienstplan",
				ID:       pact.Identify("dienstplan"),
				Address:  netip.MustParseAddrPort("10.7.0.1:443"),
				Protocol: pact.TCP,
				Contract: pact.Once,
			},
			WeightOn: file.BrokenFlows,
			Slots:    mark,
		},
	}
	return f
}

func propose(f file.File, operator string) sign.Proposal {
	p := sign.Proposal{
		File:     f.Name,
		Base:     f.Base,
		Content:  f.Hash(),
		Operator: operator,
	}
	id, key := p.ID(), private(operator)
	lock.Lock()
	defer lock.Unlock()
	if _, ok := signed[id]; !ok {
		p.Sign(key)
		signed[id] = p
	}
	return signed[id]
}

func take(revision uint64, chosen sign.ID, others ...sign.ID) sign.Decision {
	d := sign.Decision{
		File:     "suedhang",
		Revision: revision,
		Verdict:  sign.Take,
		Chosen:   chosen,
		Settled:  append([]sign.ID{chosen}, others...),
		Chair:    "alma",
	}
	return rule(d)
}

func keep(revision uint64, dropped ...sign.ID) sign.Decision {
	d := sign.Decision{
		File:     "suedhang",
		Revision: revision,
		Verdict:  sign.Keep,
		Settled:  dropped,
		Chair:    "alma",
	}
	return rule(d)
}

func rule(d sign.Decision) sign.Decision {
	id, key := d.ID(), private(d.Chair)
	lock.Lock()
	defer lock.Unlock()
	if _, ok := ruled[id]; !ok {
		d.Sign(key)
		ruled[id] = d
	}
	return ruled[id]
}

func applying(f file.File, operator string, deadline time.Time) *head.Apply {
	return head.NewApply(f, propose(f, operator), deadline, 1)
}

func deciding(d sign.Decision, deadline time.Time) *chair.Machine {
	return chair.New(d, deadline, 1)
}
