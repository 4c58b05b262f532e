// Package waxplatform is a stand-in for the platform: the Object API and the
// instance list of docs/design.md section 14.1, with faults that tests switch.
package waxplatform
