// Package waxconfig holds the configuration document of the fleet: its
// sections with their defaults and checks, the stored form in the platform's
// Object API, the editor of the operators' command, and the holder that keeps
// an instance on the newest accepted version.
//
// docs/configuration.md describes every section and field.
package waxconfig
