// Package timerheap implements a priority queue of values ordered by time.
package timerheap
