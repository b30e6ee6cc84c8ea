package audit

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"

	"github.com/pomelospring/pomelospring"
)

// keyPrefixDigits is the length of what is shown of a key's hash.
const keyPrefixDigits = 8

// KeyPrefix returns the start of a key's hash, by which an operator tells keys apart.
func KeyPrefix(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:keyPrefixDigits]
}

// Difference is one entry that two configurations don't share.
type Difference struct {
	// Change is added, removed or changed.
	Change string `json:"change"`
	// Object is route, service, team, key or limits.
	Object string `json:"object"`
	Name   string `json:"name"`
}

// String returns the difference in words.
func (d Difference) String() string {
	return fmt.Sprintf("%s %s %s", d.Change, d.Object, d.Name)
}

// Compare returns what a configuration changes of the one in force, by object and name.
func Compare(inForce, next *pomelospring.Policy) []Difference {
	differences := compareEntries("route", routesByName(inForce), routesByName(next))
	differences = append(differences, compareEntries("service", inForce.Services, next.Services)...)
	differences = append(differences, compareEntries("team", inForce.Teams, next.Teams)...)
	differences = append(differences, compareEntries("key", teamsByKeyPrefix(inForce), teamsByKeyPrefix(next))...)
	if inForce.Limits != next.Limits {
		differences = append(differences, Difference{
			Change: "changed",
			Object: "limits",
			Name:   "of callers",
		})
	}
	return differences
}

func routesByName(policy *pomelospring.Policy) map[string][]pomelospring.PolicyRoute {
	routes := map[string][]pomelospring.PolicyRoute{}
	for _, route := range policy.Routes {
		routes[route.Name] = append(routes[route.Name], route)
	}
	return routes
}

func teamsByKeyPrefix(policy *pomelospring.Policy) map[string]string {
	teams := map[string]string{}
	for key, team := range policy.KeyTeams {
		teams[KeyPrefix(key)+" of team "+team] = team
	}
	return teams
}

func compareEntries[T any](object string, inForce, next map[string]T) (differences []Difference) {
	add := func(change, name string) {
		differences = append(differences, Difference{
			Change: change,
			Object: object,
			Name:   name,
		})
	}
	for name, entry := range next {
		old, known := inForce[name]
		switch {
		case !known:
			add("added", name)
		case !reflect.DeepEqual(old, entry):
			add("changed", name)
		}
	}
	for name := range inForce {
		if _, kept := next[name]; !kept {
			add("removed", name)
		}
	}
	slices.SortFunc(differences, func(x, y Difference) int { return cmp.Compare(x.Name, y.Name) })
	return differences
}
