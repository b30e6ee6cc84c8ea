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

const validSettings = `instance:
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

func TestParseKeepsDefaultsOfAbsentSections(t *testing.T) {
	config, err := settings.Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(settings.Default().Budget, config.Budget); diff != "" {
		t.Error(diff)
	}
}

// invalidFile is the text of a settings file with one fault, and the parts that
// the error must contain.
type invalidFile struct {
	name string
	text string
	want []string
}

// invalidFiles returns variants of validSettings with one fault each.
func invalidFiles() []invalidFile {
	var files []invalidFile
	add := func(name, text string, want ...string) {
		files = append(files, invalidFile{
			name: name,
			text: text,
			want: want,
		})
	}
	addReplaced := func(name, before, after string, want ...string) {
		add(name, strings.Replace(validSettings, before, after, 1), want...)
	}
	add("an empty file", "", "instance.domain", "must be set")
	add("a list at the top level", "- a\n", "1")
	add("broken YAML", "instance: [", "1")
	add("a tab as indentation", "instance:\n\tdomain: a\n", "2")
	add("an unknown section", validSettings+"colour: red\n", "colour")
	addReplaced("an unknown field", "  domain: a", "  domain: a\n  zone: b", "zone", "3")
	add("a duplicate section", validSettings+"instance:\n  domain: b\n", "instance")
	addReplaced("no domain", "  domain: a\n", "", "instance.domain", "must be set")
	addReplaced("a domain that is too long", "domain: a", "domain: "+strings.Repeat("a", 65), "line 2", "instance.domain", "64 or less")
	addReplaced("an address without a port", "127.0.0.1:8011", "127.0.0.1", "line 3", "instance.callerAddress", "host:port")
	addReplaced("an address with a bad port", "127.0.0.1:8012", "127.0.0.1:99999", "line 4", "instance.peerAddress", "host:port")
	addReplaced("no operator address", "  operatorAddress: 127.0.0.1:8013\n", "", "instance.operatorAddress", "must be set")
	addReplaced("a log URL that is not a URL", "http://127.0.0.1:7000", "here", "line 7", "platform.logURL", "URL")
	addReplaced("no instance list", "  instanceListURL: http://127.0.0.1:7001\n", "", "platform.instanceListURL", "must be set")
	addReplaced("an operator without a name", "name: local", "name: ''", "operators[0].name", "must be set")
	addReplaced("a short token hash", "0123456789abcdef\n", "01\n", "operators[0].tokenHash", "64 characters")
	addReplaced("a token hash that is not hexadecimal", "0123456789abcdef\n", "0123456789abcdeg\n", "operators[0].tokenHash", "hexadecimal")
	addReplaced("a token in place of its hash", "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "op-secret", "operators[0].tokenHash")
	add("a seed without a port", strings.Replace(validSettings, "  domain: a", "  domain: a\n  seeds: [host]", 1), "instance.seeds", "host:port")
	add("an unknown log level", validSettings+"logging:\n  level: loud\n", "logging.level", "debug info warn error")
	add("a certificate without its key", validSettings+"tls:\n  callers:\n    certificate: /no/such/file\n", "tls.callers")
	add("a missing authority file", validSettings+"tls:\n  backendAuthority: /no/such/file\n", "tls.backendAuthority", "no such file")
	for _, c := range []struct{ section, field, value, want string }{
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
		text := fmt.Sprintf("%s%s:\n  %s: %s\n", validSettings, c.section, c.field, c.value)
		add(fmt.Sprintf("%s.%s is %s", c.section, c.field, c.value), text, "13", c.field, c.want)
	}
	return files
}

// Guards against invalid files that are accepted, and against errors that don't
// help to find the fault: each case lists what its error must name, such as the
// line, the field and what is allowed.
func TestParseRejectsInvalidSettings(t *testing.T) {
	all := invalidFiles()
	if len(all) < 50 {
		t.Errorf("only %d invalid files are tested", len(all))
	}
	for _, file := range all {
		t.Run(file.name, func(t *testing.T) {
			_, err := settings.Parse([]byte(file.text))
			if err == nil {
				t.Fatal("the file is accepted")
			}
			for _, part := range file.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("the error does not name %q: %v", part, err)
				}
			}
		})
	}
	t.Logf("%d invalid files", len(all))
}

func TestReferencePageIsCurrent(t *testing.T) {
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

// FuzzParse parses arbitrary text. Parse must never panic and returns either
// settings or an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	for _, file := range invalidFiles() {
		f.Add([]byte(file.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := settings.Parse(text)
		if (config == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", config, err)
		}
	})
}
