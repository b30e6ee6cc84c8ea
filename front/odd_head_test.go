package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pomelospring/pomelospring/standin"
)

// oddBody is what servers in trouble send behind odd heads.
const oddBody = "01234567890"

// oddHead is a head that HTTP doesn't allow, up to its empty line.
type oddHead struct {
	name string
	// before comes before the head.
	before string
	status string
	fields string
	// body is sent behind the head.
	body string
}

// text returns the answer to a call with the head.
func (o oddHead) text(id string) string {
	return o.before + stampedHead(o.status, id, "\r\n") + o.fields + "\r\n" + o.body
}

// oddHeads lists the heads: statuses that are none, malformed names of fields, and both of
// interim answers and trailers.
func oddHeads() (heads []oddHead) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		heads = append(heads,
			oddHead{name: "status " + status, status: "HTTP/1.1 " + status + " Odd", fields: length(oddBody), body: oddBody},
			oddHead{name: "status " + status + " that ends with its connection", status: "HTTP/1.1 " + status + " Odd", body: oddBody},
			oddHead{name: "status " + status + " and not run", status: "HTTP/1.1 " + status + " Odd", fields: standin.HeaderNotExecuted + ": 1\r\n" + length(oddBody), body: oddBody},
		)
	}
	const ok = "HTTP/1.1 200 OK"
	names := map[string]string{
		"a blank in a name":          "X Odd",
		"a blank before the colon":   "X-Odd ",
		"a blank before a name":      " X-Odd",
		"a tab in a name":            "X\tOdd",
		"a tab before the colon":     "X-Odd\t",
		"a control byte in a name":   "X\x01Odd",
		"a NUL in a name":            "X\x00Odd",
		"a DEL in a name":            "X\x7fOdd",
		"a byte above 127 in a name": "X\xe4Odd",
		"a slash in a name":          "X/Odd",
		"no name":                    "",
	}
	for name, field := range names {
		line := field + ": 1\r\n"
		heads = append(heads,
			oddHead{name: name, status: ok, fields: "X-A: b\r\n" + length(oddBody) + line, body: oddBody},
			oddHead{name: name + ", not run", status: "HTTP/1.1 503 Full", fields: standin.HeaderNotExecuted + ": 1\r\n" + length(oddBody) + line, body: oddBody},
			oddHead{name: name + ", in an interim answer", before: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n" + line + "\r\n", status: ok, fields: length(oddBody), body: oddBody},
			oddHead{name: name + ", in a trailer", status: ok, fields: chunked, body: "b\r\n" + oddBody + "\r\n0\r\n" + line + "\r\n"},
		)
	}
	// A line that begins with a blank goes on with the line before it.
	heads = dropFolded(heads)
	return append(heads,
		oddHead{name: "a length with a blank before the colon", status: ok, fields: "Content-Length : 2\r\n", body: oddBody},
		oddHead{name: "a framing with a blank before the colon", status: ok, fields: "Transfer-Encoding : chunked\r\n", body: chunks(oddBody)},
		oddHead{name: "a second length with a blank before the colon", status: ok, fields: length(oddBody) + "Content-Length : 2\r\n", body: oddBody},
		oddHead{name: "a status without digits", status: "HTTP/1.1 2x0 OK", fields: length(oddBody), body: oddBody},
		oddHead{name: "chunks in HTTP/1.0", status: "HTTP/1.0 200 OK", fields: chunked, body: chunks(oddBody)},
		oddHead{name: "chunks in HTTP/1.0, beside a length", status: "HTTP/1.0 200 OK", fields: length(oddBody) + chunked, body: chunks(oddBody)},
		oddHead{name: "another version of HTTP", status: "HTTP/2.0 200 OK", fields: length(oddBody), body: oddBody},
		oddHead{name: "an old version of HTTP", status: "HTTP/0.9 200 OK", fields: length(oddBody), body: oddBody},
		oddHead{name: "a change of the protocol", status: "HTTP/1.1 101 Switching Protocols", fields: "Connection: Upgrade\r\nUpgrade: x\r\n", body: oddBody},
		oddHead{name: "a control byte in a value", status: ok, fields: "X-A: b\x01\r\n" + length(oddBody), body: oddBody},
		oddHead{name: "a bare CR in a value", status: ok, fields: "X-A: b\rc: d\r\n" + length(oddBody), body: oddBody},
	)
}

// dropFolded drops those heads in which a line that begins with a blank follows another one.
func dropFolded(heads []oddHead) (others []oddHead) {
	for _, head := range heads {
		if !strings.HasPrefix(head.name, "a blank before a name") || strings.HasSuffix(head.name, "trailer") {
			others = append(others, head)
		}
	}
	return others
}

// TestOddHeadIsTakenForAnAnswer guards against heads of servers in trouble that callers get as
// answers, or as promises that a call did not run.
func TestOddHeadIsTakenForAnAnswer(t *testing.T) {
	heads := oddHeads()
	for _, path := range []string{"/order/", "/lookup/", "/brief/"} {
		// On connections that are closed behind the head, on ones that stay open, and behind the
		// answer to another call.
		for _, connections := range []string{"closed", "open", "kept"} {
			t.Run(strings.Trim(path, "/")+", "+connections, func(t *testing.T) {
				t.Parallel()
				servers := &rawServers{attempts: map[string]int{}, wait: func() {}}
				servers.play = func(e *exchange) {
					var n int
					if _, err := fmt.Sscanf(e.id, "odd-%d", &n); err != nil {
						e.write(stampedHead("HTTP/1.1 200 OK", e.id, "\r\n") + length("done") + "\r\ndone")
						return
					}
					e.write(heads[n].text(e.id))
					if connections == "closed" || heads[n].fields == "" || strings.Contains(heads[n].fields, " :") {
						e.end()
					}
				}
				i := startWithRawServers(t, servers)
				client := &http.Client{Transport: &http.Transport{}}
				for n, head := range heads {
					for before := range 2 {
						if id := fmt.Sprintf("before-%d-%d", n, before); connections == "kept" {
							if got, _ := i.call(client, "/lookup/", id); got.Body != "done" {
								t.Errorf("%s: the call before got %+v", head.name, got)
							}
						}
					}
					got, _ := i.call(client, path, fmt.Sprintf("odd-%d", n))
					want := received{Status: http.StatusBadGateway, Complete: true}
					if path == "/brief/" && strings.HasSuffix(head.name, "trailer") {
						// The whole body is no event, and the trailer comes behind it.
						continue
					}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("%s: %s", head.name, diff)
					}
				}
			})
		}
	}
}
