package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort is below the range of outgoing connections, so that none of these
	// takes a port before a daemon listens on it. Processes start at different
	// ports, by their process IDs.
	firstPort          = 20000
	portsPerProcess    = 10
	processPortRanges  = 1000
	maxReserveAttempts = 1000
)

var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + int64(os.Getpid()%processPortRanges*portsPerProcess)) }

// ReserveAddress returns a loopback address that nothing listens on. Until release
// is called, other processes that reserve addresses don't get it, also while the
// daemon there restarts: the UDP port of the same number stays held.
func ReserveAddress() (address string, release func(), err error) {
	for range maxReserveAttempts {
		address = fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		reserved, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address, func() { _ = reserved.Close() }, nil
		}
		_ = reserved.Close()
	}
	return "", nil, errors.New("no free port found")
}
