// Package tackdocs tests that the documentation agrees with the code: links have
// targets, settings files load, commands and queries parse, and the names of
// error codes and metrics are explained.
package tackdocs
