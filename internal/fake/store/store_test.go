package store_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/clementinewing/clementinewing/internal/edge/store"
	fake "github.com/clementinewing/clementinewing/internal/fake/store"
)

// noAnswerTimeout ends calls that are meant to get no answer.
const noAnswerTimeout = 20 * time.Millisecond

// Every case runs on the service directly and through gRPC on loopback.
var _ = Describe("Service", func() {
	for _, way := range []string{"direct", "grpc"} {
		Describe(way, func() {
			var service *fake.Service
			var client store.Store
			var ctx context.Context

			BeforeEach(func() {
				service = fake.New()
				client = service
				ctx = context.Background()
				if way == "grpc" {
					client = dial(service)
				}
			})

			It("rejects a swap with an outdated version", func() {
				first, err := client.Swap(ctx, "head", 0, []byte("a"))
				Expect(err).NotTo(HaveOccurred())
				_, err = client.Swap(ctx, "head", 0, []byte("b"))
				var conflict *store.ConflictError
				Expect(errors.As(err, &conflict)).To(BeTrue())
				Expect(conflict.Current).To(Equal(first))
				Expect(client.Get(ctx, "head")).To(Equal(first))
			})

			It("writes a value even if the answer is lost", func() {
				service.SetFaults(fake.Faults{
					LostAnswers: 1,
				})
				short, cancel := context.WithTimeout(ctx, noAnswerTimeout)
				defer cancel()
				_, err := client.Swap(short, "head", 0, []byte("a"))
				Expect(err).To(MatchError(store.ErrNoAnswer))
				Eventually(func() []byte {
					return service.Memory.Get("head").Value
				}).Should(Equal([]byte("a")))
			})

			It("writes nothing while it is down", func() {
				service.SetFaults(fake.Faults{
					Down: true,
				})
				_, err := client.Swap(ctx, "head", 0, []byte("a"))
				Expect(err).To(MatchError(store.ErrNoAnswer))
				Expect(service.Memory.Get("head").Version).To(BeZero())
			})

			It("rejects a value above 1 MB", func() {
				_, err := client.Swap(ctx, "head", 0, bytes.Repeat([]byte("a"), store.MaxValueBytes+1))
				Expect(err).To(MatchError(store.ErrTooLarge))
				_, err = client.Swap(ctx, "head", 0, bytes.Repeat([]byte("a"), store.MaxValueBytes))
				Expect(err).NotTo(HaveOccurred())
			})

			It("grants an expired lease to another holder with a higher token", func() {
				first, err := client.Lease(ctx, "home", "a", 60)
				Expect(err).NotTo(HaveOccurred())
				_, err = client.Lease(ctx, "home", "b", 60)
				var held *store.HeldError
				Expect(errors.As(err, &held)).To(BeTrue())
				Expect(held.Current.Holder).To(Equal("a"))
				service.Memory.ExpireLeases()
				second, err := client.Lease(ctx, "home", "b", 60)
				Expect(err).NotTo(HaveOccurred())
				Expect(second.Token).To(BeNumerically(">", first.Token))
			})

			It("counts a waiting watch as one read", func() {
				seen := make(chan store.Entry, 1)
				go func() {
					e, err := client.Watch(ctx, "head", 0)
					if err == nil {
						seen <- e
					}
				}()
				Eventually(func() int { return service.Memory.Counts().Waiting }).Should(Equal(1))
				Expect(service.Memory.Counts().Reads).To(Equal(uint64(1)))
				written, err := client.Swap(ctx, "head", 0, []byte("a"))
				Expect(err).NotTo(HaveOccurred())
				Eventually(seen).Should(Receive(Equal(written)))
			})

			It("drops watches without notifying their callers", func() {
				service.SetFaults(fake.Faults{
					DropWatches: true,
				})
				short, cancel := context.WithTimeout(ctx, noAnswerTimeout)
				defer cancel()
				_, err := client.Swap(ctx, "head", 0, []byte("a"))
				Expect(err).NotTo(HaveOccurred())
				_, err = client.Watch(short, "head", 0)
				Expect(err).To(MatchError(store.ErrNoAnswer))
			})
		})
	}
})

func dial(service *fake.Service) store.Store {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- fake.Serve(ctx, listener, service) }()
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		Expect(connection.Close()).To(Succeed())
		cancel()
		Expect(<-done).To(Succeed())
	})
	return store.NewClient(connection)
}
