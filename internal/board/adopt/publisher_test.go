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
	"github.com/clementinewing/clementinewing/internal/world/pact"
)

// alma is the chair and the only operator of these tests.
var alma = ed25519.NewKeyFromSeed([]byte("an operator's seed has 32 bytes."))

// board puts files in force in the store's memory and remembers the records.
type publisher struct {
	memory *fake.Memory
	// records has the hash of each revision's record, the first at index 1.
	records []file.Hash
	parts   map[file.Hash][]byte
}

func newPublisher() *publisher {
	return &publisher{
		memory:  fake.NewMemory(),
		records: make([]file.Hash, 1),
		parts:   map[file.Hash][]byte{},
	}
}

// clone copies the board.
func (b *publisher) clone() *publisher {
	return &publisher{
		memory:  b.memory.Clone(),
		records: slices.Clone(b.records),
		parts:   maps.Clone(b.parts),
	}
}

func (b *publisher) head() (head.Head, uint64) {
	e := b.memory.Get(head.Key)
	h, err := head.Decode(e.Value)
	must(err)
	return h, e.Version
}

// apply puts one more file in force, with so many services.
func (b *publisher) publish(services int) {
	h, _ := b.head()
	f := draft(h.Record.Revision, services)
	b.writeFile(f)
	b.writeHead(h.ApplyProposal(time.Time{}, signedProposal(f), head.RosterOf(f)))
}

// collide lets a file with a passed base wait and the chair take it.
func (b *publisher) publishByDecision(services int) {
	h, _ := b.head()
	f := draft(h.Record.Revision-1, services)
	b.writeFile(f)
	p := signedProposal(f)
	b.writeHead(h.ApplyProposal(time.Time{}, p, head.RosterOf(f)))
	h, _ = b.head()
	d := sign.Decision{
		File:     f.Name,
		Revision: h.Record.Revision,
		Verdict:  sign.Take,
		Chosen:   p.ID(),
		Settled:  []sign.ID{p.ID()},
		Chair:    "alma",
	}
	d.Sign(alma)
	b.writeHead(chair.ApplyDecision(time.Time{}, h, d, head.RosterOf(f)))
}

func (b *publisher) writeHead(r head.Result) {
	if !r.Changed {
		panic(fmt.Sprint(r.Refusal))
	}
	_, version := b.head()
	value, err := r.Head.Encode()
	must(err)
	b.memory.Swap(head.Key, version, value)
	encoded, err := r.Head.Record.Encode()
	must(err)
	hash := file.Sum(encoded)
	b.parts[hash] = encoded
	if int(r.Head.Record.Revision) == len(b.records) {
		b.records = append(b.records, hash)
	}
}

func (b *publisher) writeFile(f file.File) {
	m, pieces := f.Split()
	for i := range pieces {
		b.writePart(m[i], pieces[i])
	}
	b.writePart(m.Hash(), m.Bytes())
}

func (b *publisher) writePart(h file.Hash, part []byte) {
	b.parts[h] = part
	b.memory.Swap(head.ContentKey(h), 0, part)
}

// newest is the highest revision accepted so far.
func (b *publisher) newestRevision() uint64 {
	return uint64(len(b.records) - 1)
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
			Pact: pact.Service{
				Name:     name,
				ID:       pact.Identify(name),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 80),
				Protocol: pact.TCP,
				Contract: pact.Once,
			},
			WeightOn:     file.Imbalance,
			DrainSeconds: 60,
		})
	}
	return f
}

func signedProposal(f file.File) sign.Proposal {
	p := sign.Proposal{
		File:     f.Name,
		Base:     f.Base,
		Content:  f.Hash(),
		Operator: "alma",
	}
	p.Sign(alma)
	return p
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
