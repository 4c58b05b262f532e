// Package waxplatform provides a fake platform: the Object API and the instance list
// of docs/design.md section 14.1, with faults that tests can inject.
package waxplatform
