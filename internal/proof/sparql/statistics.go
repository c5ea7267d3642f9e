package main

import "swiftreel/internal/rulecheck"

// statistics are what became of the jobs of a run, or of several.
type statistics struct {
	jobs        int
	done        int
	throttled   int
	cancelled   int
	dispatches  int
	begun       int // dispatches that ran
	lookups     int
	lookupsDone int
	texts       int // of SPARQL
	textsDone   int
	violations  []rulecheck.Violation
}

func (s *statistics) add(other statistics) {
	s.jobs += other.jobs
	s.done += other.done
	s.throttled += other.throttled
	s.cancelled += other.cancelled
	s.dispatches += other.dispatches
	s.begun += other.begun
	s.violations = append(s.violations, other.violations...)
}

// unanswered returns how many jobs got no outcome.
func (s *statistics) unanswered() int { return s.jobs - s.done - s.throttled - s.cancelled }

// count takes the statistics of a log.
func count(log []rulecheck.Entry) statistics {
	var s statistics
	types := map[string]string{} // by job
	for _, entry := range log {
		switch entry.Event {
		case rulecheck.Accepted:
			types[entry.Job] = entry.Type
			s.countAccepted(entry.Type)
		case rulecheck.Answered:
			s.countAnswer(entry.Answer, types[entry.Job])
		case rulecheck.Began:
			s.begun++
			s.dispatches++
		case rulecheck.Reached:
			s.dispatches++
		}
	}
	return s
}

func (s *statistics) countAccepted(jobType string) {
	s.jobs++
	switch jobType {
	case "lookup":
		s.lookups++
	case "import":
	default:
		s.texts++
	}
}

func (s *statistics) countAnswer(answer, jobType string) {
	switch answer {
	case rulecheck.Done:
		s.done++
		switch jobType {
		case "lookup":
			s.lookupsDone++
		case "import":
		default:
			s.textsDone++
		}
	case rulecheck.Throttled:
		s.throttled++
	default:
		s.cancelled++
	}
}
