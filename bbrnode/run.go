package bbrnode

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrallowance"
	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrforward"
	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// readinessLag is how long the platform may go on sending callers after the
	// readiness check has begun to fail.
	readinessLag = 2300 * time.Millisecond
	// stopMargin is how long before the end of the grace period the process exits.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long before the process exits all statements are answered.
	answerMargin = 200 * time.Millisecond
	// stopPollInterval is the interval at which a stop checks whether all sessions
	// have ended.
	stopPollInterval = 50 * time.Millisecond
	// acceptRetryDelay is the delay after an error of a listener.
	acceptRetryDelay = 20 * time.Millisecond
)

// run serves until ctx ends, and then until all sessions have ended or the grace
// period is over.
//
// Each value received from reload reloads the settings. Only the log level takes
// effect: the addresses and the name are fixed for the life of the process.
func (n *Node) run(ctx context.Context, load func() (*Settings, error), reload <-chan os.Signal) error {
	n.log.WithFields(logrus.Fields{"name": n.settings.Name, "dataCentre": n.settings.DataCentre, "callers": n.settings.CallerAddress}).Info("start")
	callers, err := listenForCallers(ctx, n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.listenHTTP(serveCtx); err != nil {
		return err
	}
	n.awaitChoice()
	for _, t := range n.followedTables() {
		n.runAsync(func() { n.followTable(serveCtx, t) })
	}
	n.runAsync(func() { n.followOthers(serveCtx) })
	n.runAsync(func() { n.pullUnavailableTables(serveCtx) })
	n.runAsync(func() { n.register(serveCtx) })
	n.runAsync(func() { n.maintainGroups(serveCtx) })
	n.runAsync(func() { n.probeExcluded(serveCtx) })
	limitRuntime(n.limits)
	callers = bbrbudget.NewGate(callers, n.limits.Callers, n.limitRecorder, n.refuseCaller)
	n.runAsync(func() { n.accept(serveCtx, callers) })
	for {
		select {
		case <-reload:
			n.reload(load)
			continue
		case <-ctx.Done():
		}
		n.stop(serveCtx, callers)
		return nil
	}
}

// reload loads and checks the settings again. If that fails, the current settings
// stay in effect.
func (n *Node) reload(load func() (*Settings, error)) {
	s, err := load()
	if err != nil {
		n.log.WithError(err).Error("settings not reloaded; the current settings stay in effect")
		return
	}
	n.log.SetLevel(s.LogLevel)
	n.log.WithField("level", s.LogLevel).Info("reload")
}

// accept accepts and serves callers until the listener is closed.
func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.WithError(err).Warn("failed to accept a caller's connection")
			bbrtype.Sleep(ctx, acceptRetryDelay)
			continue
		}
		n.runAsync(func() {
			if err := n.sessions.Serve(ctx, n.newCaller(conn)); err != nil {
				n.log.WithError(err).Debug("session ended with an error")
			}
		})
	}
}

// listenHTTP serves the readiness check, the metrics, and the requests of other
// instances if there is an address for them.
func (n *Node) listenHTTP(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc(n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", n.metrics.handler())
	endpoints := []endpoint{n.probeEndpoint(n.settings.ReadyAddress, ready), n.probeEndpoint(n.settings.MetricsAddress, metrics)}
	if n.settings.PeerAddress != "" {
		peers := http.NewServeMux()
		forwarded := bbrforward.Handler(n.runForwarded, n.sessions.IsForwardedStopped)
		peers.Handle(bbrforward.PathPrefix, n.forwardRequests.count(n.peerBudget.BoundBodies(forwarded, bbrforward.DeclineHandler("the instance has no room for the statement"))))
		peers.Handle(bbrallowance.PathPrefix, n.peerBudget.BoundBodies(bbrallowance.Handler(n.limiter), http.HandlerFunc(unavailable)))
		peers.Handle("/", n.peerBudget.BoundBodies(bbrshare.Handler(n.servePull), http.HandlerFunc(unavailable)))
		endpoints = append(endpoints, n.peerEndpoint(n.settings.PeerAddress, peers))
	}
	for _, e := range endpoints {
		if err := n.serveHTTP(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// unavailable refuses a request that there is no room for.
func unavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// serveHTTP serves the requests to an endpoint until ctx ends.
func (n *Node) serveHTTP(ctx context.Context, e endpoint) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", e.address)
	}
	server := e.server()
	n.runAsync(func() { _ = server.Serve(bbrbudget.NewGate(l, e.connections, n.limitRecorder, nil)) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

// stop ends all sessions within the grace period. It first fails the readiness
// check, unregisters the instance, and waits until the platform has stopped sending
// callers. Then each session is closed once it is between statements and in no
// transaction. After half of the grace period open transactions are rolled back between
// two statements, and no more statements begin.
func (n *Node) stop(ctx context.Context, callers net.Listener) {
	n.log.WithField("sessions", n.sessions.SessionCount()).Info("stop begins")
	startedAt := n.clock.Now()
	exitAt := startedAt.Add(n.settings.GracePeriod - stopMargin)
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.sessions.AnswerBy(exitAt.Add(-answerMargin))
	n.sessions.StopForwarded()
	n.runAsync(func() { n.unregister(ctx) })
	bbrtype.Sleep(ctx, min(readinessLag, n.settings.GracePeriod/2))
	_ = callers.Close()
	n.sessions.Drain()
	n.awaitSessions(ctx, startedAt.Add(n.settings.GracePeriod/2))
	n.sessions.EndTransactions()
	n.awaitSessions(ctx, exitAt)
	n.log.WithField("sessions", n.sessions.SessionCount()).Info("stop")
}

// awaitSessions waits until all sessions have ended, and all work that other instances
// have forwarded is done and replied to, until deadline at the latest.
func (n *Node) awaitSessions(ctx context.Context, deadline bbrtype.Mono) {
	for n.sessions.SessionCount()+n.sessions.ForwardedCount()+n.forwardRequests.inProgress() > 0 && n.clock.Now() < deadline {
		bbrtype.Sleep(ctx, stopPollInterval)
	}
}
