// Package view defines the status documents that controllers return to users, and the values of the
// metrics page.
package view
