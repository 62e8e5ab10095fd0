package bbrtesthelpers

import "golang.org/x/sync/errgroup"

// group runs the helpers' goroutines.
var group errgroup.Group

// Go runs something in the background until the tests end.
func Go(f func()) {
	group.Go(func() error {
		f()
		return nil
	})
}
