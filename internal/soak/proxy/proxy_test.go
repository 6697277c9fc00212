package proxy_test

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/soak/proxy"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// eventTimeout bounds the wait for an expected event, silenceWindow is how long no
// answer must arrive.
const (
	eventTimeout  = 30 * time.Second
	silenceWindow = 50 * time.Millisecond
)

// newEchoProxy starts a server that echoes each line, and a proxy in front of it.
func newEchoProxy() *proxy.Proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	p, err := proxy.Listen("127.0.0.1:0", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		Expect(p.Close()).To(Succeed())
		_ = l.Close()
	})
	return p
}

func dial(p *proxy.Proxy) net.Conn {
	c, err := net.Dial("tcp4", p.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

func exchangeLine(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 16))
	return err
}

var _ = Describe("Proxy", func() {
	It("forwards data, also in slow mode", func() {
		p := newEchoProxy()
		c := dial(p)
		Expect(exchangeLine(c, eventTimeout)).To(Succeed())
		p.SetMode(proxy.Slow)
		Expect(exchangeLine(c, eventTimeout)).To(Succeed())
	})

	It("drops answers in one-way mode", func() {
		p := newEchoProxy()
		c := dial(p)
		Expect(exchangeLine(c, eventTimeout)).To(Succeed())
		p.SetMode(proxy.OneWay)
		Expect(exchangeLine(c, silenceWindow)).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("silences open connections permanently and lets new ones work", func() {
		p := newEchoProxy()
		old := dial(p)
		Expect(exchangeLine(old, eventTimeout)).To(Succeed())
		p.SilenceOpen()
		Expect(exchangeLine(old, silenceWindow)).To(MatchError(os.ErrDeadlineExceeded))
		Expect(exchangeLine(dial(p), eventTimeout)).To(Succeed())
	})

	It("resets open connections", func() {
		p := newEchoProxy()
		c := dial(p)
		Expect(exchangeLine(c, eventTimeout)).To(Succeed())
		p.ResetOpen()
		Eventually(func() error { return exchangeLine(c, eventTimeout) }, eventTimeout).Should(HaveOccurred())
		Expect(exchangeLine(dial(p), eventTimeout)).To(Succeed())
	})
})
