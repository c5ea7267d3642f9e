// Package deploy holds the JSON schemas of the files that operators write.
package deploy

import "embed"

// Schemas are the files *.schema.json of this folder.
//
//go:embed *.schema.json
var Schemas embed.FS
