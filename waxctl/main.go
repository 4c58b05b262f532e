// Command waxctl inspects and configures a waxwingdrift router fleet. Its manual
// page is doc/waxctl.1.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(runMain())
}

func runMain() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
}
