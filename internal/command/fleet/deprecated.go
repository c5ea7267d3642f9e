package fleet

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// replacedBy is the annotation of a command or flag under its former name; its value is the present name.
const replacedBy = "replaced-by"

// formerName makes a command a hidden one under its former name, so that operators' scripts go on. use is the former
// name with its arguments.
func formerName(use, presentName string, cmd *cobra.Command) *cobra.Command {
	cmd.Use = use
	cmd.Hidden = true
	cmd.Annotations = map[string]string{replacedBy: presentName}
	return cmd
}

// formerBoolFlag adds a hidden flag under its former name, which sets the same variable.
func formerBoolFlag(flags *pflag.FlagSet, variable *bool, former, presentName string) {
	flags.BoolVar(variable, former, false, "former name of --"+presentName)
	flag := flags.Lookup(former)
	flag.Hidden = true
	flag.Annotations = map[string][]string{replacedBy: {"--" + presentName}}
}

// warnDeprecated prints a line on the error stream for each former name that a command line uses. The output stream
// is left alone: scripts read it.
func warnDeprecated(cmd *cobra.Command, _ []string) {
	errs := cmd.ErrOrStderr()
	if present := cmd.Annotations[replacedBy]; present != "" {
		fmt.Fprintf(errs, "%s is deprecated, use %s\n", cmd.CommandPath(), present)
	}
	cmd.Flags().Visit(func(flag *pflag.Flag) {
		for _, present := range flag.Annotations[replacedBy] {
			fmt.Fprintf(errs, "--%s is deprecated, use %s\n", flag.Name, present)
		}
	})
}
