// Package view defines the status documents about the cluster and its configuration that
// controllers return to users, and the values of the metrics page.
package view
