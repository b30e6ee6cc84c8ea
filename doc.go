// Package pomelospring defines the data types and interfaces that all programs
// of the serving layer share. The packages below it implement them; this package
// imports none of those.
package pomelospring
