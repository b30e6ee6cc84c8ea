// Package pomelospring holds the plain data and the interfaces that every
// program of the serving layer shares. Implementations live in the packages
// below it; this package imports none of them.
package pomelospring
