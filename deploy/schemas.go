// Package deploy embeds the JSON schemas of the files that operators write.
package deploy

import "embed"

// Schemas holds the files *.schema.json of this directory.
//
//go:embed *.schema.json
var Schemas embed.FS
