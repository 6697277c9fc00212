package adopt_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// otherWrites is the number of writes of other keys in the restore tests. They raise the
// store's versions beyond those that the files alone use.
const otherWrites = 100

var _ = Describe("a store that comes back from an older copy", func() {
	for _, watcher := range []bool{true, false} {
		It(fmt.Sprintf("does not hide files whose store versions were given out before, watcher %v", watcher), func() {
			n := newSingleNode(map[int]string{}, watcher)
			n.clock.Run(n.clock.Now().Add(convergenceTimeout))
			copied := n.publisher.memory.Clone()
			for range otherWrites {
				e := n.publisher.memory.Get("other")
				n.publisher.memory.Swap("other", e.Version, nil)
			}
			n.publisher.publish(firstServices + 3)
			n.clock.Run(n.clock.Now().Add(convergenceTimeout))
			Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()))
			n.publisher.memory.Restore(copied)
			n.publisher.publish(firstServices + 3)
			n.publisher.publish(firstServices + 4)
			n.clock.Run(n.clock.Now().Add(convergenceTimeout))
			Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()))
			Expect(n.violations).To(BeEmpty())
		})
	}

	It("gets the active file written back once", func() {
		n := newSingleNode(map[int]string{}, true)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		copied := n.publisher.memory.Clone()
		n.publisher.publish(firstServices + 3)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		n.publisher.memory.Restore(copied)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		h, _ := n.publisher.head()
		Expect(h.Record.Revision).To(Equal(n.publisher.newestRevision()))
		Expect(h.Waiting).To(BeEmpty())
		Expect(n.restores).To(Equal(1))
		n.publisher.publish(firstServices + 4)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		Expect(n.machine.ActiveFile().Revision()).To(Equal(n.publisher.newestRevision()))
		Expect(n.violations).To(BeEmpty())
	})

	It("does not lose a file that was accepted before the active one was written back", func() {
		n := newSingleNode(map[int]string{}, true)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		copied := n.publisher.memory.Clone()
		n.publisher.publish(firstServices + 3)
		n.publisher.publish(firstServices + 4)
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		n.publisher.memory.Restore(copied)
		n.publisher.publish(firstServices + 5)
		accepted, _ := n.publisher.head()
		n.clock.Run(n.clock.Now().Add(convergenceTimeout))
		h, _ := n.publisher.head()
		Expect(h.Record).To(Equal(n.machine.ActiveFile().Record))
		Expect(h.Waiting).To(HaveLen(1))
		Expect(h.Waiting[0].Proposal).To(Equal(accepted.Record.Proposal))
		Expect(n.violations).To(BeEmpty())
	})
})
