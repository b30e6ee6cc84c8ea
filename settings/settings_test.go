package settings_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/settings"
)

const good = `instance:
  domain: a
  callerAddress: 127.0.0.1:8011
  peerAddress: 127.0.0.1:8012
  operatorAddress: 127.0.0.1:8013
platform:
  logURL: http://127.0.0.1:7000
  instanceListURL: http://127.0.0.1:7001
operators:
  - name: local
    tokenHash: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

func TestGoodSettings(t *testing.T) {
	config, err := settings.Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings.Default().Budget, config.Budget); diff != "" {
		t.Error(diff)
	}
}

// fault is one fault in a settings file and what its error must name.
type fault struct {
	name string
	text string
	says []string
}

func faults() []fault {
	var found []fault
	add := func(name, text string, says ...string) {
		found = append(found, fault{
			name: name,
			text: text,
			says: says,
		})
	}
	replaced := func(name, before, after string, says ...string) {
		add(name, strings.Replace(good, before, after, 1), says...)
	}
	add("an empty file", "", "instance.domain", "must be set")
	add("a list", "- a\n", "1")
	add("broken YAML", "instance: [", "1")
	add("a tab for indent", "instance:\n\tdomain: a\n", "2")
	add("an unknown section", good+"colour: red\n", "colour")
	replaced("an unknown field", "  domain: a", "  domain: a\n  zone: b", "zone", "3")
	add("a section twice", good+"instance:\n  domain: b\n", "instance")
	replaced("no domain", "  domain: a\n", "", "instance.domain", "must be set")
	replaced("a domain that is too long", "domain: a", "domain: "+strings.Repeat("a", 65), "line 2", "instance.domain", "64 or less")
	replaced("an address without a port", "127.0.0.1:8011", "127.0.0.1", "line 3", "instance.callerAddress", "host:port")
	replaced("an address with a bad port", "127.0.0.1:8012", "127.0.0.1:99999", "line 4", "instance.peerAddress", "host:port")
	replaced("no operators' address", "  operatorAddress: 127.0.0.1:8013\n", "", "instance.operatorAddress", "must be set")
	replaced("a log that is no URL", "http://127.0.0.1:7000", "here", "line 7", "platform.logURL", "URL")
	replaced("no instance list", "  instanceListURL: http://127.0.0.1:7001\n", "", "platform.instanceListURL", "must be set")
	replaced("an operator without a name", "name: local", "name: ''", "operators[0].name", "must be set")
	replaced("a short token hash", "0123456789abcdef\n", "01\n", "operators[0].tokenHash", "64 characters")
	replaced("a token hash that is not hexadecimal", "0123456789abcdef\n", "0123456789abcdeg\n", "operators[0].tokenHash", "hexadecimal")
	replaced("a token in place of its hash", "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "op-secret", "operators[0].tokenHash")
	add("a seed without a port", strings.Replace(good, "  domain: a", "  domain: a\n  seeds: [host]", 1), "instance.seeds", "host:port")
	add("a level that there is not", good+"logging:\n  level: loud\n", "logging.level", "debug info warn error")
	add("a certificate without its key", good+"tls:\n  callers:\n    certificate: /no/such/file\n", "tls.callers")
	add("an authority that is not there", good+"tls:\n  backendAuthority: /no/such/file\n", "tls.backendAuthority", "no such file")
	for _, c := range []struct{ section, field, value, says string }{
		{"callers", "bodyBytes", "0", "1024 or more"},
		{"callers", "bodyBytes", "99999999999", "67108864 or less"},
		{"callers", "bodyBytes", "many", "bodyBytes"},
		{"callers", "headerBytes", "10", "1024 or more"},
		{"callers", "headerTime", "1ms", "100ms or more"},
		{"callers", "headerTime", "soon", "headerTime"},
		{"callers", "bodyTime", "1h", "10m or less"},
		{"callers", "idleTime", "0s", "1s or more"},
		{"callers", "writeTime", "-5s", "100ms or more"},
		{"callers", "startTime", "0s", "100ms or more"},
		{"callers", "loadWait", "1ms", "100ms or more"},
		{"callers", "totalTime", "2h", "1h or less"},
		{"callers", "maxTokens", "0", "1 or more"},
		{"callers", "maxTokens", "-4", "1 or more"},
		{"callers", "bytesPerToken", "0", "0.25 or more"},
		{"callers", "bytesPerToken", "100", "16 or less"},
		{"callers", "keysTrusted", "0s", "1s or more"},
		{"callers", "keysTrusted", "48h", "24h or less"},
		{"budget", "standingPercent", "101", "100 or less"},
		{"budget", "standingPercent", "-1", "0 or more"},
		{"budget", "leasedTime", "1s", "2s or more"},
		{"budget", "standingTime", "25h", "24h or less"},
		{"budget", "floorPercent", "200", "100 or less"},
		{"budget", "leastBurst", "0", "1 or more"},
		{"budget", "renewEvery", "1ms", "100ms or more"},
		{"loads", "rate", "0", "0.01 or more"},
		{"loads", "rate", "fast", "rate"},
		{"loads", "burst", "0", "1 or more"},
		{"membership", "leaseTime", "10ms", "1s or more"},
		{"membership", "clockBound", "11s", "10s or less"},
		{"membership", "drainTime", "0s", "1s or more"},
		{"membership", "noticeTime", "1h", "5m or less"},
		{"membership", "flightTime", "2m", "1m or less"},
		{"intents", "keptTime", "1s", "1m or more"},
		{"streams", "snapshotRecords", "1", "10 or more"},
		{"streams", "snapshotAge", "0s", "1s or more"},
	} {
		text := fmt.Sprintf("%s%s:\n  %s: %s\n", good, c.section, c.field, c.value)
		add(fmt.Sprintf("%s.%s is %s", c.section, c.field, c.value), text, "13", c.field, c.says)
	}
	return found
}

func TestBadSettings(t *testing.T) {
	all := faults()
	if len(all) < 50 {
		t.Errorf("only %d files are tried", len(all))
	}
	for _, f := range all {
		t.Run(f.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(f.text))
			if err == nil {
				t.Fatal("the file is taken")
			}
			for _, part := range f.says {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("the error does not name %q: %v", part, err)
				}
			}
		})
	}
	t.Logf("%d bad files", len(all))
}

func TestTheReferencePageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	settings.WriteReference(&want)
	got, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.String(), string(got)); diff != "" {
		t.Errorf("run pomelospringd reference > docs/SETTINGS.md: %s", diff)
	}
}

// FuzzSettings reads any text; it must never panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(good))
	for _, fault := range faults() {
		f.Add([]byte(fault.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := settings.Parse(text)
		if (config == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", config, err)
		}
	})
}
