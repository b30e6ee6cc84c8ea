package front_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// longestSoundSilence is how long a sound peer may be silent, with a margin.
const longestSoundSilence = 4 * time.Second

// TestKeepAliveEndsAConnectionOfASoundPeer guards against connections, accepted or opened,
// that the kernel ends because a sound peer was silent for a moment.
func TestKeepAliveEndsAConnectionOfASoundPeer(t *testing.T) {
	f := newVersionFleet(t)
	instances := []*instance{f.startServing(t, "a"), f.startServing(t, "b")}
	// The leader is found and exchanged with.
	time.Sleep(time.Second)
	f.readAll(instances, 1, 1)
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, file := range files {
		fd, err := strconv.Atoi(file.Name())
		if err != nil {
			continue
		}
		if _, err := unix.Getpeername(fd); err != nil {
			continue
		}
		option := func(level, name int) time.Duration {
			value, err := unix.GetsockoptInt(fd, level, name)
			if err != nil {
				return -1
			}
			return time.Duration(value)
		}
		if option(unix.SOL_SOCKET, unix.SO_PROTOCOL) != unix.IPPROTO_TCP {
			continue
		}
		checked++
		probes := option(unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		idle := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) * time.Second
		interval := option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * time.Second
		count := option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		userTimeout := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond
		if userTimeout != 0 && userTimeout < longestSoundSilence {
			t.Errorf("a connection ends after %s without an acknowledgement", userTimeout)
		}
		if probes != 0 && idle+interval*count < longestSoundSilence {
			t.Errorf("a connection ends after a silence of %s", idle+interval*count)
		}
		if checked == 1 {
			t.Logf("keep-alive %d, idle %s, interval %s, count %d, user timeout %s", probes, idle, interval, count, userTimeout)
		}
	}
	t.Logf("%d connections", checked)
	if checked < 8 {
		t.Errorf("%d connections are open, want those to the store, the servers and each other", checked)
	}
}
