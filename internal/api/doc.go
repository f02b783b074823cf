// Package api holds the types that cross wigeonbay's boundaries: what callers,
// operators and targets send and receive. It has no behaviour beyond
// validation and comparison, and imports no other package of the project.
package api
