package bbrnode

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrshare"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// rotationTime is how long the platform may go on sending callers after an
	// instance has said that it is not ready.
	rotationTime = 2300 * time.Millisecond
	// stopMargin is how long before the end of the grace the process ends.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often a stop looks whether all sessions have ended.
	stopPoll = 50 * time.Millisecond
	// acceptPause is the pause after an error of a listener.
	acceptPause = 20 * time.Millisecond
)

// run serves until ctx ends, and then until the sessions have ended or the grace
// is over.
//
// At each value of reload the settings are loaded again. Addresses and the name
// stay as they are for the life of the process; the log's level is put in force.
func (n *Node) run(ctx context.Context, load func() (*Settings, error), reload <-chan os.Signal) error {
	n.log.WithFields(logrus.Fields{"name": n.settings.Name, "dataCentre": n.settings.DataCentre, "callers": n.settings.Callers}).Info("start")
	callers, err := net.Listen("tcp", n.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := n.listenHTTP(life); err != nil {
		return err
	}
	for _, t := range n.tables() {
		n.aside(func() { n.follow(life, t) })
	}
	n.aside(func() { n.borrow(life) })
	n.aside(func() { n.register(life) })
	n.aside(func() { n.keep(life) })
	n.aside(func() { n.accept(life, callers) })
	for {
		select {
		case <-reload:
			n.reload(load)
			continue
		case <-ctx.Done():
		}
		n.stop(life, callers)
		return nil
	}
}

// reload checks the settings again. Bad ones leave the old ones in force.
func (n *Node) reload(load func() (*Settings, error)) {
	s, err := load()
	if err != nil {
		n.log.WithError(err).Error("reload refused; the settings stay as they are")
		return
	}
	n.log.SetLevel(s.LogLevel)
	n.log.WithField("level", s.LogLevel).Info("reload")
}

// accept serves callers until the listener is closed.
func (n *Node) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.WithError(err).Warn("accept a caller")
			bbrtype.Sleep(ctx, acceptPause)
			continue
		}
		n.ports.Watch(conn)
		n.aside(func() {
			if err := n.sessions.Serve(ctx, n.ports.Caller(conn)); err != nil {
				n.log.WithError(err).Debug("session ended")
			}
		})
	}
}

// listenHTTP serves the platform's question and the metrics.
func (n *Node) listenHTTP(ctx context.Context) error {
	ready := http.NewServeMux()
	ready.HandleFunc(n.ports.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", n.metrics.handler())
	handlers := map[string]http.Handler{n.settings.Ready: ready, n.settings.Metrics: metrics}
	if n.settings.Peers != "" {
		handlers[n.settings.Peers] = bbrshare.Handler(n.share)
	}
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
		n.aside(func() { _ = server.Serve(l) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// stop ends the sessions: the platform first stops sending callers, idle sessions
// end between statements, and open transactions get half of the grace.
func (n *Node) stop(ctx context.Context, callers net.Listener) {
	n.log.WithField("sessions", n.sessions.Sessions()).Info("stop begins")
	began := n.clock.Now()
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.aside(func() { n.unregister(ctx) })
	bbrtype.Sleep(ctx, min(rotationTime, n.settings.Grace/2))
	_ = callers.Close()
	n.sessions.CloseIdle()
	n.awaitSessions(ctx, n.settings.Grace/2-n.clock.Now().Sub(began))
	n.sessions.EndTransactions()
	n.awaitSessions(ctx, n.settings.Grace-stopMargin-n.clock.Now().Sub(began))
	n.log.WithField("sessions", n.sessions.Sessions()).Info("stop")
}

// awaitSessions waits until all sessions have ended, at most for a time.
func (n *Node) awaitSessions(ctx context.Context, most time.Duration) {
	until := n.clock.Now().Add(most)
	for n.sessions.Sessions() > 0 && n.clock.Now() < until {
		bbrtype.Sleep(ctx, stopPoll)
	}
}
