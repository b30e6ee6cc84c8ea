package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pomelospring/pomelospring/operator"
)

// printReply prints a reply as JSON, or its change and tables as text or CSV.
func printReply(out io.Writer, format string, reply operator.Reply) error {
	if format == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	printChange(out, reply)
	for _, table := range []*operator.Table{reply.InForce, reply.Table} {
		if table == nil {
			continue
		}
		if err := printTable(out, format, *table); err != nil {
			return err
		}
	}
	return nil
}

// printChange prints the diff of a change, whether it was accepted and the secret
// of a new key.
func printChange(out io.Writer, reply operator.Reply) {
	for _, line := range reply.Diff {
		_, _ = fmt.Fprintln(out, line)
	}
	if reply.Change != nil && reply.Change.Accepted {
		_, _ = fmt.Fprintf(out, "accepted at offset %d, in force everywhere: %t\n", reply.Change.Offset, reply.Everywhere)
	}
	if reply.Secret != "" {
		_, _ = fmt.Fprintf(out, "secret (shown once): %s\n", reply.Secret)
	}
}

// printTable prints a table as CSV or in aligned columns.
func printTable(out io.Writer, format string, table operator.Table) error {
	if format == "csv" {
		writer := csv.NewWriter(out)
		if err := writer.Write(table.Columns); err != nil {
			return err
		}
		return writer.WriteAll(table.Rows)
	}
	writer := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(table.Columns, "\t"))
	for _, row := range table.Rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
