// Package view holds the answers about the cluster, its configuration and its figures
// that controllers give to users and to the metrics page. It has no logic.
package view
