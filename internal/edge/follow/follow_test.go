package follow_test

import (
	"context"
	"crypto/ed25519"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/board/adopt"
	"github.com/clementinewing/clementinewing/internal/board/file"
	"github.com/clementinewing/clementinewing/internal/board/head"
	"github.com/clementinewing/clementinewing/internal/board/sign"
	"github.com/clementinewing/clementinewing/internal/edge/board"
	"github.com/clementinewing/clementinewing/internal/edge/follow"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

// patience ends a spec that hangs; nothing is measured by it.
const patience = 30 * time.Second

var errNoPeer = errors.New("no peer has the part")

// others fetches from other followers.
type others []*follow.Follower

func (o others) FetchFile(_ context.Context, hash string) ([]byte, error) {
	for _, f := range o {
		if content, ok := f.File(hash); ok {
			return content, nil
		}
	}
	return nil, errNoPeer
}

// apply puts the file on a base in force.
func apply(service *fake.Service, base uint64) {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	f := file.File{
		Name:  "suedhang",
		Base:  base,
		Chair: "alma",
		Operators: []file.Operator{
			{
				Name: "alma",
				Key:  key.Public().(ed25519.PublicKey),
			},
		},
	}
	p := sign.Proposal{
		File:     f.Name,
		Base:     base,
		Content:  f.Hash(),
		Operator: "alma",
	}
	p.Sign(key)
	r := board.Run(context.Background(), service, head.NewApply(f, p, time.Now().Add(patience), 1))
	Expect(r.Refusal).To(BeNil())
}

func start(f *follow.Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

var _ = Describe("Follower", func() {
	It("adopts what is applied, and hands it to a newcomer while the store is down", func() {
		service := fake.New()
		var lock sync.Mutex
		var seen []uint64
		first := follow.New("b1", 1, service, follow.WithAdopted(func(h *adopt.Held) {
			lock.Lock()
			defer lock.Unlock()
			seen = append(seen, h.Revision())
		}))
		start(first)
		apply(service, 0)
		Eventually(first.Held, patience).ShouldNot(BeNil())
		apply(service, 1)
		Eventually(func() uint64 { return first.Held().Revision() }, patience).Should(Equal(uint64(2)))
		lock.Lock()
		Expect(seen).To(Equal([]uint64{1, 2}))
		lock.Unlock()

		service.Set(fake.Faults{
			Down: true,
		})
		newcomer := follow.New("b2", 2, service)
		newcomer.SetPeers(others{first})
		start(newcomer)
		newcomer.Heard(2, first.Held().RecordHash)
		Eventually(newcomer.Held, patience).ShouldNot(BeNil())
		Expect(newcomer.Held().File).To(Equal(first.Held().File))
		Expect(newcomer.Held().Revision()).To(Equal(uint64(2)))
	})

	It("gives no part for a malformed hash", func() {
		f := follow.New("b1", 1, fake.New())
		_, ok := f.File("xyz")
		Expect(ok).To(BeFalse())
	})
})
