package fleet

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// replacedByAnnotation marks a command or flag that is a deprecated alias. Its value is the present name.
const replacedByAnnotation = "replaced-by"

// formerName turns cmd into a hidden alias under its former name, for the sake of operators' scripts. use is the former
// name with its arguments.
func formerName(use, presentName string, cmd *cobra.Command) *cobra.Command {
	cmd.Use = use
	cmd.Hidden = true
	cmd.Annotations = map[string]string{replacedByAnnotation: presentName}
	return cmd
}

// formerBoolFlag adds a hidden alias of a flag under its former name, which sets the same variable.
func formerBoolFlag(flags *pflag.FlagSet, variable *bool, former, presentName string) {
	flags.BoolVar(variable, former, false, "former name of --"+presentName)
	flag := flags.Lookup(former)
	flag.Hidden = true
	flag.Annotations = map[string][]string{replacedByAnnotation: {"--" + presentName}}
}

// warnDeprecated prints a warning to stderr for each former name on the command line. Nothing is written to stdout, as
// scripts parse it.
func warnDeprecated(cmd *cobra.Command, _ []string) {
	errs := cmd.ErrOrStderr()
	if present := cmd.Annotations[replacedByAnnotation]; present != "" {
		fmt.Fprintf(errs, "%s is deprecated, use %s\n", cmd.CommandPath(), present)
	}
	cmd.Flags().Visit(func(flag *pflag.Flag) {
		for _, present := range flag.Annotations[replacedByAnnotation] {
			fmt.Fprintf(errs, "--%s is deprecated, use %s\n", flag.Name, present)
		}
	})
}
