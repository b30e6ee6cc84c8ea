// Package relay sends calls to backend servers, and watches the paths to them.
package relay
