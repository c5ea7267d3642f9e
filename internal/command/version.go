package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"swiftreel/internal/version"
)

func versionCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "version",
		Short: "Version, commit and digest of this build, and what it reads",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			build, err := version.Current()
			if err != nil {
				return Failure(ExitFailed, err)
			}
			if asJSON {
				return WriteJSON(c.OutOrStdout(), build)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "swiftreel %s commit=%s dirty=%v digest=%s formats=%v schemas=%v %s\n",
				build.Version, build.Commit, build.Dirty, build.Digest, build.Formats, build.Schemas, build.GoVersion)
			return err
		},
	}
	addJSONFlag(c, &asJSON)
	return c
}
