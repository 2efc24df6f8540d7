// Package tackdocs holds the pages of docs to the code by its tests: links
// lead somewhere, settings files load, commands and queries can be read.
package tackdocs
