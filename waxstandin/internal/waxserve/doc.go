// Package waxserve holds the HTTP server that the stand-ins share. It can refuse
// connections, reset them, and let them go silent, as a failing process does.
package waxserve
