package bbrtesthelpers

import (
	"net"
	"os"
	"sync"
	"testing"
)

// givenAddresses are the addresses that FreeAddress has returned.
var givenAddresses sync.Map

// Host is a loopback address of this process alone. Nothing connects from it, so that no
// connection takes one of its ports.
func Host() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid%250), byte(1+pid/250%250), 200)
}

// FreeAddress returns an address at which nobody listens and which stays free until it is
// used. It returns none twice.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(Host().String(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}
