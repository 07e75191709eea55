package wire

// WhySuffix, after a job's path, asks why it waits (GET). It is this service's own, not the
// platform's: a controller that does not have it, or was not told to, answers 404 or 501.
const WhySuffix = "/why"

// Explanation tells for what a job waits.
type Explanation struct {
	ID       string      `msgpack:"id"`
	State    string      `msgpack:"state"`
	Waiting  int         `msgpack:"waiting"`            // tasks without a place
	Starting int         `msgpack:"starting,omitempty"` // tasks with a place that do not run yet
	Places   int         `msgpack:"places"`             // tasks that the next round will place, as things are
	Stops    int         `msgpack:"stops,omitempty"`    // tasks of others that it will stop for the job
	Reasons  []Reason    `msgpack:"reasons"`
	Together [][2]string `msgpack:"together,omitempty"` // pairs of codes of which neither helps alone
	Complete bool        `msgpack:"complete"`           // without all these reasons every waiting task gets a place
	Partial  bool        `msgpack:"partial,omitempty"`  // not all pairs were tried
}

// Reason is one of them.
type Reason struct {
	Code   string  `msgpack:"code"` // stable, see docs/WHY.md
	Text   string  `msgpack:"text"` // with its figures
	Binds  bool    `msgpack:"binds"`
	Gains  int     `msgpack:"gains"`            // tasks that the next round would place without it
	Stops  int     `msgpack:"stops,omitempty"`  // tasks of others that it would stop for the job
	ForS   float64 `msgpack:"for_s,omitempty"`  // seconds until it ends, where that is known
	Number int     `msgpack:"number,omitempty"` // of jobs, machines, tasks or failures
	First  string  `msgpack:"first,omitempty"`  // the first of them
	Of     string  `msgpack:"of,omitempty"`     // what the next three are
	Need   float64 `msgpack:"need,omitempty"`
	Used   float64 `msgpack:"used,omitempty"`
	Limit  float64 `msgpack:"limit,omitempty"`
}
