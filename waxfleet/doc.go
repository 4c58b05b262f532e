// Package waxfleet holds the objects and interfaces of a router fleet between
// callers and backend servers. The implementations are in the packages below
// it; docs/design.md describes how they work together.
package waxfleet
