// Package bbrsignal catches a process's signals from its first moment: before the
// packages that the program is made of have been initialised. A SIGHUP that finds
// nobody would end the process.
//
// # Usage
//
//	ctx, cancel := bbrsignal.Stopped(context.Background())
//	defer cancel()
//	for range bbrsignal.Reload() { … }
package bbrsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// The channels hold one signal each until somebody looks.
var (
	stop   = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
}

// Reload receives when the settings have changed.
func Reload() <-chan os.Signal { return reload }

// Stopped returns a context that ends when the process is told to stop, now or
// before.
func Stopped(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	if len(stop) > 0 {
		cancel()
		return ctx, cancel
	}
	next, release := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	if len(stop) > 0 { // it came in between
		cancel()
	}
	return next, func() {
		release()
		cancel()
	}
}
