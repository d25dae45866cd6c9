// Package bitset implements sets of task indexes and their encoding in progress records, one for
// each chunk of a job's tasks.
package bitset
