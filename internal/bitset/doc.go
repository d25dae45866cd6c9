// Package bitset holds sets of task numbers and the text in which stored records
// keep them, one chunk of a job at a time.
package bitset
