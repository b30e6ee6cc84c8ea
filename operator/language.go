// Package operator implements the command and query language of operators. The
// command line and the HTTP API accept the same text.
package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pomelospring/pomelospring"
)

// Script is one or more statements. Either all of its changes are made or none.
type Script struct {
	Statements []*Statement `parser:"@@ ( ';' @@ )* ';'?"`
}

// Statement is one command or query; exactly one field is set.
type Statement struct {
	SetTeam    *SetTeam    `parser:"  'set' 'team' @@"`
	SetAdapter *SetAdapter `parser:"| 'set' 'adapter' @@"`
	SetRoute   *SetRoute   `parser:"| 'set' 'route' @@"`
	SetServer  *SetServer  `parser:"| 'set' 'server' @@"`
	CreateKey  *CreateKey  `parser:"| 'create' 'key' @@"`
	Withdraw   *string     `parser:"| 'withdraw' 'key' @(Word | String)"`
	Allow      *Grant      `parser:"| 'allow' @@"`
	Deny       *Grant      `parser:"| 'deny' @@"`
	Drain      *string     `parser:"| 'drain' @(Word | String)"`
	Undrain    *string     `parser:"| 'undrain' @(Word | String)"`
	Delete     *Delete     `parser:"| 'delete' @@"`
	ShowUsage  *ShowUsage  `parser:"| 'show' 'usage' @@"`
	Show       *string     `parser:"| 'show' @( 'teams' | 'keys' | 'adapters' | 'routes' | 'servers' | 'instances' | 'placements' | 'budget' )"`
	Status     bool        `parser:"| @'status'"`
}

// SetTeam creates or changes a team.
type SetTeam struct {
	Name  string   `parser:"@(Word | String)"`
	Rate  *float64 `parser:"( 'rate' @Word )?"`
	Burst *float64 `parser:"( 'burst' @Word )?"`
}

// SetAdapter creates or changes an adapter.
type SetAdapter struct {
	Name     string   `parser:"@(Word | String)"`
	Base     string   `parser:"'base' @(Word | String)"`
	Versions []string `parser:"'versions' @(Word | String) ( ',' @(Word | String) )*"`
}

// SetRoute creates or changes a route to a plain service.
type SetRoute struct {
	Path       string `parser:"@(Word | String)"`
	Service    string `parser:"'service' @(Word | String)"`
	Idempotent bool   `parser:"( @'idempotent'"`
	Open       bool   `parser:"| @'open' )*"`
}

// SetServer creates or changes a backend server.
type SetServer struct {
	Name        string `parser:"@(Word | String)"`
	Address     string `parser:"'address' @(Word | String)"`
	Domain      string `parser:"'domain' @(Word | String)"`
	Base        string `parser:"( 'model' @(Word | String)"`
	Slots       int    `parser:"  'slots' @Word"`
	Service     string `parser:"| 'service' @(Word | String) )"`
	Running     int    `parser:"'running' @Word"`
	ChecksFence bool   `parser:"@'checksFence'?"`
}

// CreateKey creates a key. The reply shows its secret, which can't be shown
// again.
type CreateKey struct {
	Name string `parser:"@(Word | String)"`
	Team string `parser:"'team' @(Word | String)"`
}

// Grant names the versions of an adapter that a team may, or may no longer,
// call. Without versions it means all of them.
type Grant struct {
	Team     string   `parser:"'team' @(Word | String)"`
	Adapter  string   `parser:"'adapter' @(Word | String | '*')"`
	Versions []string `parser:"( 'versions' @(Word | String | '*') ( ',' @(Word | String | '*') )* )?"`
}

// Delete removes an object.
type Delete struct {
	Kind string `parser:"@( 'team' | 'adapter' | 'route' | 'server' )"`
	Name string `parser:"@(Word | String)"`
}

// ShowUsage asks for the requests and tokens of each team, adapter, backend
// server or failure domain.
type ShowUsage struct {
	By    string `parser:"( 'by' @( 'team' | 'adapter' | 'server' | 'domain' ) )?"`
	Since string `parser:"( 'since' @(Word) )?"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{
		Name:    "String",
		Pattern: `"[^"\n]*"`,
	},
	{
		Name:    "Word",
		Pattern: `[A-Za-z0-9][A-Za-z0-9._:\-\[\]/]*`,
	},
	{
		Name:    "Mark",
		Pattern: `[;,*]`,
	},
	{
		Name:    "space",
		Pattern: `\s+`,
	},
})

var parser = participle.MustBuild[Script](
	participle.Lexer(tokens),
	participle.Unquote("String"),
	participle.UseLookahead(3),
)

// maxCommandBytes limits the length of a command.
const maxCommandBytes = 1 << 20

// Parse parses a command. A syntax error names the line, the column and what
// was expected.
func Parse(text string) (script *Script, err error) {
	defer pomelospring.Annotate(&err, "command")
	if len(text) > maxCommandBytes {
		return nil, fmt.Errorf("text is over %d bytes", maxCommandBytes)
	}
	if strings.TrimSpace(text) == "" {
		return nil, fmt.Errorf("text is empty; try help")
	}
	return parser.ParseString("", text)
}

// Grammar returns the grammar of the language in EBNF.
func Grammar() string {
	return parser.String()
}
