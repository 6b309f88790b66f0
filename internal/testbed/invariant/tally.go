package invariant

// Counts is what became of the requests of a class that a life of a server has read, as its callers and its worker pool saw it.
type Counts struct {
	Served, Rejected, Failed int
	Runs                     int // that reached the worker pool
	// Loose are requests whose callers gave up or left: their answers may have crossed that, and been counted or not.
	Ambiguous int
}

// CountsOf counts by class for the life that a server is in. strays are errors that answered what is no request.
func (o *Observer) CountsOf(name string) (byClass map[string]Counts, strays int) {
	byClass = map[string]Counts{}
	s := o.servers[name]
	for _, r := range s.reqs {
		class := o.Limits.Settings.Classes[r.class].Name
		t := byClass[class]
		switch {
		case r.gaveUp || r.c.left || r.over:
			t.Ambiguous++
		case r.kind == "served":
			t.Served++
		case r.kind == "refused":
			t.Rejected++
		case r.kind == "failed":
			t.Failed++
		}
		if s.runs[r.id] != nil {
			t.Runs++
		}
		byClass[class] = t
	}
	return byClass, s.strays
}
