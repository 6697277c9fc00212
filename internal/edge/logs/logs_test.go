package logs_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/edge/logs"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs")
}

// blockingStream blocks writes until open is closed.
type blockingStream struct {
	mutex  sync.Mutex
	open   chan struct{}
	buffer bytes.Buffer
}

func (s *blockingStream) Write(b []byte) (int, error) {
	<-s.open
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.buffer.Write(b)
}

var _ = Describe("Logs", func() {
	It("does not block on a stream that is not read", func() {
		s := &blockingStream{
			open: make(chan struct{}),
		}
		l := logs.New(s, "balancer", "a")
		done := make(chan struct{})
		go func() {
			// More lines than the buffer holds, beyond the sampling limits.
			for range 200 {
				for range 400 {
					l.Important.Info().Msg("line")
				}
				for range 200 {
					l.Routine.Info().Msg("line")
				}
			}
			close(done)
		}()
		Eventually(done, time.Minute).Should(BeClosed())
		close(s.open)
		Expect(l.Close()).To(Succeed())
	})

	// Guards against setting the library's global time format while other loggers write.
	It("can be created while other loggers write", func() {
		var w sync.WaitGroup
		for range 8 {
			w.Go(func() {
				var b bytes.Buffer
				l := logs.New(&b, "balancer", "a")
				l.Important.Info().Msg("line")
				Expect(l.Close()).To(Succeed())
				Expect(b.String()).To(MatchRegexp(`"time":"[-0-9]+T[0-9:]+\.[0-9]{3}Z"`))
			})
		}
		w.Wait()
	})

	It("drops routine lines before important ones", func() {
		var b bytes.Buffer
		l := logs.New(&b, "balancer", "a")
		for range 300 {
			l.Routine.Info().Msg("routine")
			l.Important.Info().Msg("trouble")
		}
		Expect(l.Close()).To(Succeed())
		Expect(bytes.Count(b.Bytes(), []byte("trouble"))).To(Equal(300))
		Expect(bytes.Count(b.Bytes(), []byte("routine"))).To(BeNumerically("<", 300))
	})
})
