// Package relay sends calls to backend servers: over the instance's own paths, and through
// other instances where these are broken. It hands over one attempt at a time; which
// servers are asked, and how often, is decided where the call came in.
package relay
