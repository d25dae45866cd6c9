package main

import "time"

// site holds the settings of a small deployment, from the site files of the kit.
type site struct {
	halls, zones          []string
	teams                 []team
	report, lease, cancel time.Duration
	rps, writeRPS         float64
	valueKB, txnOps       int
	cloudRPS              float64
	listLag               time.Duration
	cpuShare, memMB       float64
	connections           int
}

type team struct {
	name          string
	cpus, cpusMax float64
}

var voltaris = &site{
	halls: []string{"sofia-north", "sofia-south"}, zones: []string{"plovdiv", "sofia-north", "sofia-south", "varna"},
	teams:  []team{{"grid-analytics", 0, 0}},
	report: 3 * time.Second, lease: 20 * time.Second, cancel: 40 * time.Second,
	rps: 250, writeRPS: 100, valueKB: 16, txnOps: 48,
	cloudRPS: 6, listLag: 3 * time.Second,
	cpuShare: 0.096, memMB: 98, connections: 800,
}

var furrowline = &site{
	halls: []string{"hartford", "worcester"}, zones: []string{"hartford", "worcester"},
	teams:  []team{{"tenant-ops", 56, 144}, {"fleet-data", 72, 112}, {"dealer-care", 112, 168}},
	report: 3 * time.Second, lease: 29 * time.Second, cancel: 54 * time.Second,
	rps: 250, writeRPS: 60, valueKB: 16, txnOps: 12,
	cloudRPS: 10, listLag: 4 * time.Second,
	cpuShare: 0.144, memMB: 234, connections: 2500,
}
