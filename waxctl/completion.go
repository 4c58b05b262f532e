package main

import (
	"github.com/spf13/cobra"
)

func init() { register(newCompletion) }

func newCompletion(a *app) *cobra.Command {
	return &cobra.Command{
		Use:       "completion bash|zsh|fish|powershell",
		Short:     "Print a shell completion script",
		ValidArgs: []string{"bash", "zsh", "fish", "powershell"},
		Args:      usageArgs(cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs)),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch args[0] {
			case "bash":
				return cmd.Root().GenBashCompletionV2(a.out, true)
			case "zsh":
				return cmd.Root().GenZshCompletion(a.out)
			case "fish":
				return cmd.Root().GenFishCompletion(a.out, true)
			}
			return cmd.Root().GenPowerShellCompletionWithDesc(a.out)
		},
	}
}
