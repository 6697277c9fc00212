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
})
