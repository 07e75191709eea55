package emulator

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"fieldhill/wire"
)

// Operations of users on jobs, as the invariant checker records them.
const (
	operationSubmit = "submit"
	operationPoll   = "poll"
	operationCancel = "cancel"
)

const (
	// userTimeout is how long a user waits for an answer.
	userTimeout = 5 * time.Second
	// maxUserAttempts is how often a user tries, a second apart, before giving up.
	maxUserAttempts = 60
)

// userGroup sends the requests of users, each on a connection of its own, and has the invariant checker see every
// answer.
type userGroup struct {
	networkOf   networkFunc
	controllers *controllerGroup
	checker     *InvariantChecker
	random      *randomSource

	mu                sync.Mutex
	cancelAtEndChance float64 // that a job is cancelled at the moment of its end
	cancelledAtEnd    int     // how often that was so
}

// CancelAtEnd sets the probability that a user cancels a job at the moment at which its last task ends.
func (u *userGroup) CancelAtEnd(probability float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelAtEndChance = probability
}

// CancelledAtEnd counts the jobs that were cancelled so.
func (u *userGroup) CancelledAtEnd() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cancelledAtEnd
}

// onTaskEnding is called just before a task ends as done.
func (u *userGroup) onTaskEnding(task string) {
	u.mu.Lock()
	chosen := u.random.chanceIfSet(u.cancelAtEndChance)
	u.mu.Unlock()
	delay := time.Duration(u.random.intN(30)) * time.Millisecond
	if !chosen || !u.checker.isLastTask(task) {
		return
	}
	u.mu.Lock()
	u.cancelledAtEnd++
	u.mu.Unlock()
	id, _, _ := strings.Cut(task, "/")
	go func() {
		time.Sleep(delay)
		u.Cancel(id)
	}()
}

// PollRepeatedly has users ask for a job at all controllers, so many times with a short pause between them, and repeat
// its submission.
func (u *userGroup) PollRepeatedly(spec *wire.JobSpec, times int, pause time.Duration) {
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	for k := range times {
		for i := range u.controllers.processes {
			go u.RequestAt(i, operationPoll, spec.ID, nil)
			if k%3 == 0 {
				go u.RequestAt(i, operationSubmit, spec.ID, body)
			}
		}
		time.Sleep(pause)
	}
}

// Submit submits a job until it is accepted or refused for good, for up to a minute. It returns the last status code.
func (u *userGroup) Submit(spec *wire.JobSpec) int {
	u.checker.RegisterJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return u.retryUntilDecided(operationSubmit, spec.ID, body)
}

// Cancel cancels a job, insisting like Submit.
func (u *userGroup) Cancel(id string) int { return u.retryUntilDecided(operationCancel, id, nil) }

func (u *userGroup) retryUntilDecided(operation, id string, body []byte) int {
	code := 0
	for range maxUserAttempts {
		code, _ = u.Request(operation, id, body)
		switch code {
		case http.StatusOK, http.StatusCreated,
			http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			return code
		}
		time.Sleep(time.Second)
	}
	return code
}

// Request sends a user's request to some controller, as the load balancer would. It returns the status code, 0 for no
// answer.
func (u *userGroup) Request(operation, id string, body []byte) (int, *wire.JobStatus) {
	return u.RequestAt(u.random.intN(len(u.controllers.processes)), operation, id, body)
}

// RequestAt sends a user's request to a controller.
func (u *userGroup) RequestAt(controller int, operation, id string, body []byte) (int, *wire.JobStatus) {
	response := u.send(context.Background(), controller, operation, id, body)
	return response.code, response.status
}

// userResponse is the answer to a user's request; the zero value stands for none.
type userResponse struct {
	code   int
	header http.Header
	body   []byte
	status *wire.JobStatus
}

// send sends a user's request to a controller and has the invariant checker see the answer.
func (u *userGroup) send(
	ctx context.Context, controller int, operation, id string, body []byte,
) (response userResponse) {
	if operation == operationCancel {
		u.checker.RecordCancelRequest(id)
	}
	before := u.checker.ClientViewOf(id)
	response = u.exchange(ctx, controller, operation, id, body)
	if response.code != 0 {
		u.checker.RecordResponse(id, operation, before, response.code, response.status)
	}
	if operation == operationPoll && response.code != http.StatusOK {
		u.checker.RecordUnanswered(id)
	}
	return response
}

// exchange sends a request and reads the whole answer.
func (u *userGroup) exchange(ctx context.Context, controller int, operation, id string, body []byte) userResponse {
	transport := &http.Transport{DialContext: dialFunc(u.networkOf("user")), DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: userTimeout}
	method, path := http.MethodPost, wire.PathJobs
	switch operation {
	case operationPoll:
		method, path = http.MethodGet, wire.PathJobs+"/"+id
	case operationCancel:
		path = wire.PathJobs + "/" + id + wire.CancelSuffix
	}
	url := "http://" + u.controllers.UserAddr(controller) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bodyReader(body))
	if err != nil {
		return userResponse{}
	}
	resp, err := client.Do(request)
	if err != nil {
		return userResponse{}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read, or counts as lost
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return userResponse{}
	}
	status := &wire.JobStatus{}
	if resp.StatusCode < http.StatusMultipleChoices {
		if err := wire.Unmarshal(responseBody, status); err != nil {
			return userResponse{}
		}
	}
	return userResponse{resp.StatusCode, resp.Header, responseBody, status}
}
