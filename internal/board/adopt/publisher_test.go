package adopt_test

import (
	"crypto/ed25519"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/clementinewing/clementinewing/internal/board/chair"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// alma is the key of the chair, who is the only operator in these tests.
var alma = ed25519.NewKeyFromSeed([]byte("an operator's seed has 32 bytes."))

// publisher puts files in force in an in-memory store and keeps their records and parts.
type publisher struct {
	memory *fake.Memory
	// recordHashes holds the hash of each revision's record, indexed by revision from 1.
	recordHashes []file.Hash
	parts        map[file.Hash][]byte
}

func newPublisher() *publisher {
	return &publisher{
		memory:       fake.NewMemory(),
		recordHashes: make([]file.Hash, 1),
		parts:        map[file.Hash][]byte{},
	}
}

// clone returns a copy of the publisher and its store.
func (p *publisher) clone() *publisher {
	return &publisher{
		memory:       p.memory.Clone(),
		recordHashes: slices.Clone(p.recordHashes),
		parts:        maps.Clone(p.parts),
	}
}

func (p *publisher) head() (head.Head, uint64) {
	e := p.memory.Get(head.Key)
	h, err := head.Decode(e.Value)
	must(err)
	return h, e.Version
}

// publish puts another file with the given number of services in force.
func (p *publisher) publish(services int) {
	h, _ := p.head()
	f := draft(h.Record.Revision, services)
	p.writeFile(f)
	p.writeHead(h.ApplyProposal(time.Time{}, signedProposal(f), head.RosterOf(f)))
}

// publishByDecision proposes a file with an outdated base, which then waits, and has the
// chair take it.
func (p *publisher) publishByDecision(services int) {
	h, _ := p.head()
	f := draft(h.Record.Revision-1, services)
	p.writeFile(f)
	proposal := signedProposal(f)
	p.writeHead(h.ApplyProposal(time.Time{}, proposal, head.RosterOf(f)))
	h, _ = p.head()
	d := sign.Decision{
		File:     f.Name,
		Revision: h.Record.Revision,
		Verdict:  sign.Take,
		Chosen:   proposal.ID(),
		Settled:  []sign.ID{proposal.ID()},
		Chair:    "alma",
	}
	d.Sign(alma)
	p.writeHead(chair.ApplyDecision(time.Time{}, h, d, head.RosterOf(f)))
}

func (p *publisher) writeHead(r head.Result) {
	if !r.Changed {
		panic(fmt.Sprint(r.Refusal))
	}
	_, version := p.head()
	value, err := r.Head.Encode()
	must(err)
	p.memory.Swap(head.Key, version, value)
	encoded, err := r.Head.Record.Encode()
	must(err)
	hash := file.Sum(encoded)
	p.parts[hash] = encoded
	if int(r.Head.Record.Revision) == len(p.recordHashes) {
		p.recordHashes = append(p.recordHashes, hash)
	}
}

func (p *publisher) writeFile(f file.File) {
	m, pieces := f.Split()
	for i := range pieces {
		p.writePart(m[i], pieces[i])
	}
	p.writePart(m.Hash(), m.Bytes())
}

func (p *publisher) writePart(h file.Hash, part []byte) {
	p.parts[h] = part
	p.memory.Swap(head.ContentKey(h), 0, part)
}

// newestRevision returns the highest revision so far.
func (p *publisher) newestRevision() uint64 {
	return uint64(len(p.recordHashes) - 1)
}

func draft(base uint64, services int) file.File {
	f := file.File{
		Name:  "nileroll",
		Base:  base,
		Chair: "alma",
		Operators: []file.Operator{
			{
				Name: "alma",
				Key:  alma.Public().(ed25519.PublicKey),
			},
		},
	}
	for i := range services {
		name := fmt.Sprintf("s%05d", i)
		f.Services = append(f.Services, file.Service{
			Spec: spec.Service{
				Name:     name,
				ID:       spec.NewServiceID(name),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 80),
				Protocol: spec.TCP,
				Contract: spec.Once,
			},
			WeightOn:     file.Imbalance,
			DrainSeconds: 60,
		})
	}
	return f
}

func signedProposal(f file.File) sign.Proposal {
	proposal := sign.Proposal{
		File:     f.Name,
		Base:     f.Base,
		Content:  f.Hash(),
		Operator: "alma",
	}
	proposal.Sign(alma)
	return proposal
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
