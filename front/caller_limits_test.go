package front_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospring/pomelospring/platform"
)

// Guards against limits on heads that hold only from the next start.
func TestTheLimitOfHeadsFollowsTheConfiguration(t *testing.T) {
	store, address, _ := newStoreWithWorker(t)
	a := startInstance(t, "a", address)
	eventually(t, "serves", func() bool { return a.serves("k1", "a1") })
	status := func() int {
		status, _, err := a.sendWith("r", "k1", "a1", map[string]string{"X-Long": strings.Repeat("x", 10_000)})
		if err != nil {
			return 0
		}
		return status
	}
	if got := status(); got != http.StatusOK {
		t.Errorf("status %d before", got)
	}
	lower := bytes.Replace(fmt.Appendf(nil, policy, 2, "k1"), []byte(`"limits":{`), []byte(`"limits":{"max-header-bytes":2000,`), 1)
	store.Put(platform.OperatorTopic, platform.PolicyKey, lower)
	eventually(t, "a longer head is refused", func() bool { return status() == http.StatusRequestHeaderFieldsTooLarge })
	if !a.serves("k1", "a1") {
		t.Error("a request inside the limits isn't served")
	}
}
