package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"swiftreel/internal/version"
)

func versionCommand() *cobra.Command {
	var forScripts bool
	c := &cobra.Command{Use: "version", Short: "Version, commit and digest of this build, and what it reads", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := version.Current()
			if err != nil {
				return exit{code: ExitFailed, err: err}
			}
			if forScripts {
				return asJSON(c.OutOrStdout(), b)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "swiftreel %s commit=%s dirty=%v digest=%s formats=%v schemas=%v %s\n", b.Version, b.Commit, b.Dirty, b.Digest, b.Formats, b.Schemas, b.Go)
			return err
		}}
	c.Flags().BoolVar(&forScripts, "json", false, "for scripts")
	return c
}
