// Package waxfleet defines the domain types and interfaces of a fleet of routers
// between callers and backend servers. Its subpackages implement them;
// docs/design.md describes the architecture.
package waxfleet
