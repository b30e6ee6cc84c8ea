package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/blackboard"
	"github.com/pomelospring/pomelospring/peer"
	"github.com/pomelospring/pomelospring/peer/peerpb"
)

const (
	// statusTimeout limits a status request to one instance.
	statusTimeout = 2 * time.Second
	// defaultUsageSpan is the time span of a usage query that names none.
	defaultUsageSpan = time.Hour
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Queries answers queries from the blackboard and from the status of all
// instances.
type Queries struct {
	Board *blackboard.Blackboard
	Peers *peer.Client
	Clock pomelospring.Clock
}

// instanceStatus is an instance's reply to a status request, or the error.
type instanceStatus struct {
	instance pomelospring.Instance
	reply    *peerpb.StatusReply
	err      error
}

// fetchStatuses requests the status of all known instances, including this one,
// in parallel.
func (q *Queries) fetchStatuses(ctx context.Context) []instanceStatus {
	instances := append(slices.Collect(maps.Values(q.Board.Peers.Get())), q.Board.Self)
	slices.SortFunc(instances, func(a, b pomelospring.Instance) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.ID, b.ID))
	})
	results := make([]instanceStatus, len(instances))
	var group sync.WaitGroup
	for i, instance := range instances {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			reply, err := q.Peers.At(ctx, instance.PeerAddress).Status(ctx, &peerpb.StatusRequest{})
			results[i] = instanceStatus{
				instance: instance,
				reply:    reply,
				err:      err,
			}
		})
	}
	group.Wait()
	return results
}

// InForce lists for each instance whether the configuration change at an offset
// is in effect there, that is, whether the instance has folded it.
func (q *Queries) InForce(ctx context.Context, offset int64) (table Table, everywhere bool) {
	table.Columns = []string{"domain", "instance", "offset", "inForce"}
	everywhere = true
	for _, status := range q.fetchStatuses(ctx) {
		row := []string{status.instance.Domain, status.instance.ID, "?", "unreachable"}
		if status.err == nil {
			next := status.reply.GetConfigurationNext()
			row[2] = strconv.FormatInt(next-1, 10)
			row[3] = strconv.FormatBool(next > offset)
		}
		everywhere = everywhere && row[3] == "true"
		table.Rows = append(table.Rows, row)
	}
	return table, everywhere
}

// Usage sums the recent requests and tokens by team, adapter, backend server or
// failure domain.
func (q *Queries) Usage(ctx context.Context, show ShowUsage) (table Table, err error) {
	defer pomelospring.Annotate(&err, "show usage")
	span := defaultUsageSpan
	if show.Since != "" {
		if span, err = time.ParseDuration(show.Since); err != nil || span <= 0 {
			return table, fmt.Errorf("since %q is not a positive time span such as 10m", show.Since)
		}
	}
	by := cmp.Or(show.By, "team")
	since := q.Clock().Add(-span).Truncate(time.Minute).Unix()
	sums := map[string]*peerpb.UsageRow{}
	for _, status := range q.fetchStatuses(ctx) {
		for _, row := range status.reply.GetUsage() {
			if row.GetMinute() >= since {
				addUsage(sums, q.usageGroup(by, status.instance.Domain, row), row)
			}
		}
	}
	table.Columns = []string{by, "requests", "promptTokens", "completionTokens", "refused"}
	for _, group := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[group]
		table.Rows = append(table.Rows, []string{
			group,
			strconv.FormatInt(sum.Requests, 10),
			strconv.FormatInt(sum.PromptTokens, 10),
			strconv.FormatInt(sum.CompletionTokens, 10),
			strconv.FormatInt(sum.Refused, 10),
		})
	}
	return table, nil
}

func addUsage(sums map[string]*peerpb.UsageRow, group string, row *peerpb.UsageRow) {
	sum, known := sums[group]
	if !known {
		sum = &peerpb.UsageRow{}
		sums[group] = sum
	}
	sum.Requests += row.GetRequests()
	sum.PromptTokens += row.GetPromptTokens()
	sum.CompletionTokens += row.GetCompletionTokens()
	sum.Refused += row.GetRefused()
}

// usageGroup returns the group of a usage row. The failure domain is that of
// the instance that received the request.
func (q *Queries) usageGroup(by, domain string, row *peerpb.UsageRow) string {
	switch by {
	case "adapter":
		return cmp.Or(row.GetAdapter(), "-")
	case "server":
		return cmp.Or(row.GetServer(), "-")
	case "domain":
		return domain
	}
	return row.GetTeam()
}

// Show lists all objects of one kind.
func (q *Queries) Show(what string) Table {
	state := q.Board.Configuration.Get()
	switch what {
	case "teams":
		return definitionTable("team", state.Teams, teamText)
	case "keys":
		return definitionTable("key", state.Keys, keyText)
	case "adapters":
		return definitionTable("adapter", state.Adapters, adapterText)
	case "routes":
		return definitionTable("route", state.Routes, routeText)
	case "servers":
		return definitionTable("server", state.BackendServers, serverText)
	case "placements":
		return q.placements()
	case "budget":
		return q.budget()
	}
	return q.instances()
}

func definitionTable[T any](kind string, objects map[string]T, text func(T) string) Table {
	table := Table{
		Columns: []string{kind, "definition"},
	}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		table.Rows = append(table.Rows, []string{name, text(objects[name])})
	}
	return table
}

func (q *Queries) placements() Table {
	table := Table{
		Columns: []string{"server", "domain", "owner", "running", "resident"},
	}
	for _, entry := range q.Board.Directory.All() {
		names := make([]string, 0, len(entry.Resident))
		for _, adapter := range entry.Resident {
			names = append(names, adapter.String())
		}
		table.Rows = append(table.Rows, []string{
			entry.Server,
			entry.Domain,
			entry.Owner,
			fmt.Sprintf("%d/%d", entry.Running, entry.Limit),
			strings.Join(names, " "),
		})
	}
	return table
}

func (q *Queries) instances() Table {
	table := Table{
		Columns: []string{"instance", "domain", "callers", "peers", "leaving"},
	}
	instances := append(slices.Collect(maps.Values(q.Board.Peers.Get())), q.Board.Self)
	slices.SortFunc(instances, func(a, b pomelospring.Instance) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.ID, b.ID))
	})
	for _, instance := range instances {
		table.Rows = append(table.Rows, []string{
			instance.ID,
			instance.Domain,
			instance.CallerAddress,
			instance.PeerAddress,
			strconv.FormatBool(instance.Leaving),
		})
	}
	return table
}

// budget lists each failure domain's share of each pool, in parts per million,
// and its recent demand in tokens a second.
func (q *Queries) budget() Table {
	table := Table{
		Columns: []string{"domain", "pool", "leased", "standing", "wanted", "leasedDeadline"},
	}
	ledger := q.Board.Budget.Get().Ledger
	for _, domain := range slices.Sorted(maps.Keys(ledger)) {
		holding := ledger[domain]
		for _, pool := range slices.Sorted(maps.Keys(holding.Shares)) {
			share := holding.Shares[pool]
			table.Rows = append(table.Rows, []string{
				domain,
				pool,
				strconv.FormatInt(share.Leased, 10),
				strconv.FormatInt(share.Standing, 10),
				strconv.FormatFloat(holding.Wanted[pool], 'f', 0, 64),
				holding.LeasedDeadline.UTC().Format(time.RFC3339),
			})
		}
	}
	return table
}
