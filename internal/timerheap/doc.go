// Package timerheap is a priority queue of values by time.
package timerheap
