package recurring

import (
	"encoding/json"
	"slices"

	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

// maxPageBytes keeps a page below 64 KiB, the maximum size of a message between controllers.
const maxPageBytes = 48 << 10

func scheduleResponse(sched *scheduleState, status int) request.Response {
	doc := schedule.View{
		Schedule: sched.record.File,
		Number:   sched.record.Number,
		ETag:     sched.record.ETag(),
		Paused:   sched.record.Paused,
		Problem:  sched.disabledReason,
		Next:     sched.nextOccurrence(),
		Made:     sched.record.Made,
		Missed:   sched.record.Missed,
		Late:     sched.record.Late,
	}
	return request.Response{Status: status, Document: doc, ETag: doc.ETag}
}

// upcoming returns at most count future occurrences of a schedule.
func upcoming(sched *scheduleState, count int) schedule.UpcomingList {
	doc := schedule.UpcomingList{Upcoming: []schedule.Upcoming{}}
	for cursor := sched.record.Cursor; sched.definition != nil && !sched.record.Paused && len(doc.Upcoming) < count; {
		occurrence, ok := sched.definition.Next(cursor)
		if !ok {
			break
		}
		doc.Upcoming = append(doc.Upcoming, *sched.definition.Upcoming(sched.record.Number, occurrence))
		cursor = cursor.AdvanceTo(occurrence)
	}
	return doc
}

// list returns one page of the schedules, sorted by name and bounded by params.Count and
// maxPageBytes.
func (s *Scheduler) list(params *request.ScheduleParams) schedule.ListPage {
	page := schedule.ListPage{Schedules: []schedule.Summary{}}
	i, found := slices.BinarySearch(s.names, params.After)
	if found {
		i++
	}
	size := 0
	for _, name := range s.names[i:] {
		sched := s.byName[name]
		var file schedule.File
		if sched.record == nil || json.Unmarshal(sched.record.File, &file) != nil {
			continue
		}
		size += 400 + 6*len(file.Rule) + len(file.Calendar) + len(file.Zone) + len(sched.disabledReason)
		if len(page.Schedules) == params.Count || size > maxPageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Summary{
			Name:     sched.name,
			Zone:     file.Zone,
			Rule:     file.Rule,
			Calendar: file.Calendar,
			Paused:   sched.record.Paused,
			Problem:  sched.disabledReason,
			Next:     sched.nextOccurrence(),
			Made:     sched.record.Made,
			Missed:   sched.record.Missed,
			Late:     sched.record.Late,
		})
	}
	return page
}
