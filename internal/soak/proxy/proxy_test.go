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

// patience bounds what has to happen, silence what must not.
const (
	patience = 30 * time.Second
	silence  = 50 * time.Millisecond
)

// echo starts a server that returns each line, behind a proxy.
func echo() *proxy.Proxy {
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

func ask(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 16))
	return err
}

var _ = Describe("Proxy", func() {
	It("passes what it is given, also slowly", func() {
		p := echo()
		c := dial(p)
		Expect(ask(c, patience)).To(Succeed())
		p.Set(proxy.Slow)
		Expect(ask(c, patience)).To(Succeed())
	})

	It("swallows answers in one-way mode", func() {
		p := echo()
		c := dial(p)
		Expect(ask(c, patience)).To(Succeed())
		p.Set(proxy.OneWay)
		Expect(ask(c, silence)).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("silences open connections for good and lets new ones work", func() {
		p := echo()
		old := dial(p)
		Expect(ask(old, patience)).To(Succeed())
		p.Silence()
		Expect(ask(old, silence)).To(MatchError(os.ErrDeadlineExceeded))
		Expect(ask(dial(p), patience)).To(Succeed())
	})

	It("resets open connections", func() {
		p := echo()
		c := dial(p)
		Expect(ask(c, patience)).To(Succeed())
		p.Reset()
		Eventually(func() error { return ask(c, patience) }, patience).Should(HaveOccurred())
		Expect(ask(dial(p), patience)).To(Succeed())
	})
})
