// Package waxconfig implements the configuration of the fleet: its sections with
// their defaults and validation, the stored form in the platform's Object API, an
// Editor for operators, and a waxfleet.ConfigSource that keeps an instance on the
// newest valid version.
//
// docs/configuration.md describes every section and field.
package waxconfig
