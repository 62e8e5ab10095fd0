package bbrnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

// TestStopWaitsForRepliesToOtherInstances guards against replies that are ready and that the
// exit of a stopped holder cuts off before the forwarding instance has them.
func TestStopWaitsForRepliesToOtherInstances(t *testing.T) {
	is := is.New(t)
	n := newTestNode()
	n.settings.GracePeriod = 4 * time.Second
	n.platform.Store = &memoryStore{}
	address := bbrtesthelpers.FreeAddress(t)
	started := make(chan struct{})
	slow := n.forwardRequests.count(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(2200 * time.Millisecond) // beyond the wait for callers that still come
		_, _ = w.Write([]byte("done"))
	}))
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	is.NoErr(n.serveHTTP(serveCtx, n.peerEndpoint(address, slow)))
	var request errgroup.Group
	request.Go(func() error {
		res, err := http.Get("http://" + address)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.ReadAll(res.Body)
		return err
	})
	<-started
	n.stop(serveCtx, closedListener{})
	cancel() // as the exit does
	is.NoErr(request.Wait())
}

// closedListener is a listener that does nothing.
type closedListener struct{ net.Listener }

func (closedListener) Close() error { return nil }
