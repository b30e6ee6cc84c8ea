package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestRequestThatCrashesServersIsBlockedInTheWholeFleet guards against one request of a
// plain service that ends server after server, at each instance anew.
func TestRequestThatCrashesServersIsBlockedInTheWholeFleet(t *testing.T) {
	for _, path := range []string{"/lookup/", "/order/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			store, address, _ := newStoreWithWorker(t)
			servers := &crashingWorkers{t: t, store: store, service: "app"}
			for n := range 8 {
				servers.start([]string{"north", "south"}[n%2])
			}
			instances := startInTwoDomains(t, address)
			for _, i := range instances {
				eventually(t, "serves", func() bool { return i.sendTo("probe", path+"probe") == http.StatusOK })
			}
			counts := sendBadAndSound(instances, 100*time.Millisecond, func(i *instance, n int) int {
				return i.sendTo(fmt.Sprint("bad-", n), path+"bad")
			}, func(i *instance, n int) bool {
				return i.sendTo(fmt.Sprint("sound-", n), path+fmt.Sprint(n%5)) == http.StatusOK
			})
			all, late := servers.crashesAfterWindow(3, 3*time.Second)
			t.Logf("%d servers ended, %d of them late; the request refused %d times; %d of %d sound calls served", all, late, counts.refused, counts.served, counts.sound)
			if late > 3 {
				t.Errorf("%d servers ended under the request later than 3 s after the third", late)
			}
			if counts.served*100 < counts.sound*97 {
				t.Errorf("%d of %d sound calls of the same route and team were served", counts.served, counts.sound)
			}
		})
	}
}
