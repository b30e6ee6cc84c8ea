package front_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// cuttableLink carries connections to a server until it is cut.
type cuttableLink struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// hangs keeps connections open without carrying anything, refuses resets them.
	hangs   bool
	refuses bool
	conns   []net.Conn
}

func newCuttableLink(t *testing.T, target string) *cuttableLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &cuttableLink{listener: listener, target: target}
	t.Cleanup(func() {
		_ = listener.Close()
		l.reset()
	})
	go l.serve()
	return l
}

func (l *cuttableLink) address() string { return l.listener.Addr().String() }

func (l *cuttableLink) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		l.mu.Lock()
		refuses := l.refuses || err != nil
		if !refuses {
			l.conns = append(l.conns, near, far)
		}
		l.mu.Unlock()
		if refuses {
			_ = near.Close()
			continue
		}
		go l.carry(far, near)
		go l.carry(near, far)
	}
}

// carry copies bytes; while the link hangs, they are lost.
func (l *cuttableLink) carry(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		hangs := l.hangs
		l.mu.Unlock()
		if hangs {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (l *cuttableLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	l.conns = nil
}

// hang lets all connections fall silent for good, and new ones too.
func (l *cuttableLink) hang() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hangs = true
}

// refuse resets all connections and refuses new ones.
func (l *cuttableLink) refuse() {
	l.mu.Lock()
	l.refuses = true
	l.mu.Unlock()
	l.reset()
}

// heal lets new connections work; those that hung are reset.
func (l *cuttableLink) heal() {
	l.mu.Lock()
	l.hangs, l.refuses = false, false
	l.mu.Unlock()
	l.reset()
}

// newRelease is a fleet of one software version whose second one joins later.
func newRelease(t *testing.T) *versionFleet {
	f := newVersionFleet(t)
	f.removeVersion("v1.1")
	return f
}

// joinNewVersion registers the servers of the second version, and waits until an
// instance sends streams there.
func (f *versionFleet) joinNewVersion(t *testing.T, i *instance) {
	for _, v := range f.workers {
		if v.software == "v1.1" {
			v.register(f.store)
		}
	}
	eventually(t, "the new version serves", func() bool {
		s := &callerStream{id: fmt.Sprint("new-", time.Now().UnixNano()), adapter: "a0", versions: map[string]bool{}}
		s.read(i, 1, 1)
		return s.versions["v1.1"]
	})
}

// TestInstanceOutOfStepMixesSoftwareVersions guards against streams of a version that has
// just joined which go on at another version, at an instance that has not heard of it.
func TestInstanceOutOfStepMixesSoftwareVersions(t *testing.T) {
	scenarios := []struct {
		name string
		cut  func(l *cuttableLink)
		// healed says that the cut is over before the streams are taken up.
		healed bool
		// later is how long after the new version joined the streams begin.
		later    time.Duration
		complete float64
	}{
		{name: "its links hang", cut: (*cuttableLink).hang},
		{name: "its links are refused", cut: (*cuttableLink).refuse},
		{name: "its links hang for seconds", cut: (*cuttableLink).hang, later: 4 * time.Second},
		{name: "its links hung before", cut: (*cuttableLink).hang, healed: true, complete: 0.9},
		{name: "not cut off", cut: func(*cuttableLink) {}, healed: true, complete: 0.9},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			f := newRelease(t)
			link := newCuttableLink(t, f.address)
			// The first instance leads, so that nobody relays to it.
			behind := startInstance(t, "behind", link.address())
			eventually(t, "serves", func() bool {
				s := &callerStream{id: fmt.Sprint("probe-", time.Now().UnixNano()), adapter: "a0", versions: map[string]bool{}}
				s.read(behind, 1, 1)
				return s.events > 0
			})
			ahead := f.startServing(t, "ahead")
			// The cut begins between reads of the list of servers.
			time.Sleep(time.Second)
			scenario.cut(link)
			f.joinNewVersion(t, ahead)
			time.Sleep(scenario.later)
			f.readAll([]*instance{ahead}, 1, eventsTillLeft)
			began := f.versionsBegun()
			if scenario.healed {
				link.heal()
				time.Sleep(2 * time.Second)
			}
			f.takeUp([]*instance{behind})
			mixed, complete, expected := f.count(began, "")
			newer := 0
			for _, version := range began {
				if version == "v1.1" {
					newer++
				}
			}
			t.Logf("%d streams of two versions, %d of %d whole, %d began at the new version", mixed, complete, expected, newer)
			if newer == 0 {
				t.Error("no stream began at the new version")
			}
			if mixed > maxMixedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", mixed, len(f.streams))
			}
			if float64(complete) < scenario.complete*float64(expected) {
				t.Errorf("%d of %d streams are whole, want %.2f of them", complete, expected, scenario.complete)
			}
		})
	}
}
