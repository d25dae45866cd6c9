package recurring

import (
	"encoding/json"
	"slices"

	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

// maxPageBytes keeps a page of the list below 64 KiB, the bound of a line between
// controllers.
const maxPageBytes = 48 << 10

// describe returns the response that describes a schedule.
func describe(job *recurringJob, status int) request.Response {
	doc := schedule.View{
		Schedule: job.record.File,
		Number:   job.record.Number,
		ETag:     job.record.ETag(),
		Paused:   job.record.Paused,
		Problem:  job.problem,
		Next:     job.nextOccurrence(),
		Made:     job.record.Made,
		Missed:   job.record.Missed,
		Late:     job.record.Late,
	}
	return request.Response{Status: status, Document: doc, ETag: doc.ETag}
}

// upcoming lists the next occurrences of a schedule, count at the most.
func upcoming(job *recurringJob, count int) schedule.UpcomingList {
	doc := schedule.UpcomingList{Upcoming: []schedule.Upcoming{}}
	for cursor := job.record.Cursor; job.definition != nil && !job.record.Paused && len(doc.Upcoming) < count; {
		occurrence, ok := job.definition.Next(cursor)
		if !ok {
			break
		}
		doc.Upcoming = append(doc.Upcoming, *job.definition.Upcoming(job.record.Number, occurrence))
		cursor = cursor.AdvanceTo(occurrence)
	}
	return doc
}

// list returns a page of the schedules by name.
func (s *Scheduler) list(params *request.ScheduleParams) schedule.ListPage {
	page := schedule.ListPage{Schedules: []schedule.Summary{}}
	i, found := slices.BinarySearch(s.names, params.After)
	if found {
		i++
	}
	size := 0
	for _, name := range s.names[i:] {
		job := s.byName[name]
		var file schedule.File
		if job.record == nil || json.Unmarshal(job.record.File, &file) != nil {
			continue
		}
		size += 400 + 6*len(file.Rule) + len(file.Calendar) + len(file.Zone) + len(job.problem)
		if len(page.Schedules) == params.Count || size > maxPageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Summary{
			Name:     job.name,
			Zone:     file.Zone,
			Rule:     file.Rule,
			Calendar: file.Calendar,
			Paused:   job.record.Paused,
			Problem:  job.problem,
			Next:     job.nextOccurrence(),
			Made:     job.record.Made,
			Missed:   job.record.Missed,
			Late:     job.record.Late,
		})
	}
	return page
}
