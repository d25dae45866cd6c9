// Package bitset implements sets of task indexes and their encoding in progress records, each
// of which covers one chunk of a job's tasks.
package bitset
