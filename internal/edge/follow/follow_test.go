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

// specTimeout fails a spec that hangs; no spec depends on its value.
const specTimeout = 30 * time.Second

var errNoPeer = errors.New("no peer has the part")

// otherFollowers fetches parts from other followers.
type otherFollowers []*follow.Follower

func (o otherFollowers) FetchFile(_ context.Context, hash string) ([]byte, error) {
	for _, f := range o {
		if content, ok := f.File(hash); ok {
			return content, nil
		}
	}
	return nil, errNoPeer
}

// applyFile applies the file on top of the revision base.
func applyFile(service *fake.Service, base uint64) {
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
	r := board.Run(context.Background(), service, head.NewApply(f, p, time.Now().Add(specTimeout), 1))
	Expect(r.Refusal).To(BeNil())
}

// revisionOf returns a function that returns the revision that is active on a node.
func revisionOf(f *follow.Follower) func() uint64 {
	return func() uint64 { return f.ActiveFile().Revision() }
}

func startFollower(f *follow.Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
}

var _ = Describe("Follower", func() {
	It("adopts applied files and passes the active one to a new node while the store is down", func() {
		service := fake.New()
		var lock sync.Mutex
		var adoptedRevisions []uint64
		first := follow.New("b1", 1, service, follow.WithAdopted(func(h *adopt.ActiveFile) {
			lock.Lock()
			defer lock.Unlock()
			adoptedRevisions = append(adoptedRevisions, h.Revision())
		}))
		startFollower(first)
		applyFile(service, 0)
		Eventually(first.ActiveFile, specTimeout).ShouldNot(BeNil())
		applyFile(service, 1)
		Eventually(func() uint64 { return first.ActiveFile().Revision() }, specTimeout).Should(Equal(uint64(2)))
		lock.Lock()
		Expect(adoptedRevisions).To(Equal([]uint64{1, 2}))
		lock.Unlock()

		service.SetFaults(fake.Faults{
			Down: true,
		})
		newNode := follow.New("b2", 2, service)
		newNode.SetPeers(otherFollowers{first})
		startFollower(newNode)
		newNode.HandleAnnouncement(2, first.ActiveFile().RecordHash)
		Eventually(newNode.ActiveFile, specTimeout).ShouldNot(BeNil())
		Expect(newNode.ActiveFile().File).To(Equal(first.ActiveFile().File))
		Expect(newNode.ActiveFile().Revision()).To(Equal(uint64(2)))
	})

	It("writes the file in force back to a store that came back from an older copy", func() {
		service := fake.New()
		first := follow.New("b1", 1, service)
		startFollower(first)
		applyFile(service, 0)
		Eventually(first.ActiveFile, specTimeout).ShouldNot(BeNil())
		copied := service.Memory.Clone()
		applyFile(service, 1)
		Eventually(revisionOf(first), specTimeout).Should(Equal(uint64(2)))

		service.Memory.Restore(copied)
		Eventually(func() uint64 {
			h, err := board.ReadHead(context.Background(), service, time.Now().Add(specTimeout), 1)
			Expect(err).NotTo(HaveOccurred())
			return h.Record.Revision
		}, specTimeout).Should(Equal(uint64(2)))
		newNode := follow.New("b2", 2, service)
		startFollower(newNode)
		Eventually(revisionOf(newNode), specTimeout).Should(Equal(uint64(2)))
		Expect(newNode.ActiveFile().RecordHash).To(Equal(first.ActiveFile().RecordHash))

		applyFile(service, 2)
		for _, f := range []*follow.Follower{first, newNode} {
			Eventually(revisionOf(f), specTimeout).Should(Equal(uint64(3)))
		}
	})

	It("returns no part for a malformed hash", func() {
		f := follow.New("b1", 1, fake.New())
		_, ok := f.File("xyz")
		Expect(ok).To(BeFalse())
	})
})
