// Command waxctl is the operators' command of the waxwingdrift router fleet.
// doc/waxctl.1.md is its manual page.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(mainCode())
}

func mainCode() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}
