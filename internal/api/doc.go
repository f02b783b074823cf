// Package api defines the external interface of wigeonbay: the types that callers,
// operators and targets send and receive. It contains no logic beyond validation
// and comparison, and imports no other package of the project.
package api
