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

// Operations of users on jobs, as passed to InvariantChecker.RecordResponse.
const (
	operationSubmit = "submit"
	operationPoll   = "poll"
	operationCancel = "cancel"
)

const (
	userTimeout = 5 * time.Second
	// maxUserAttempts is the maximum number of attempts, one second apart, to get a final response to a request.
	maxUserAttempts = 60
)

// userGroup sends the requests of users, each request on a new connection, and passes every response to the invariant
// checker.
type userGroup struct {
	networkOf   networkFunc
	controllers *controllerGroup
	checker     *InvariantChecker
	random      *randomSource
	copier      *requestCopier

	mu                sync.Mutex
	cancelAtEndChance float64 // probability that a job is cancelled as its last task ends
	cancelledAtEnd    int     // number of jobs cancelled as their last task ended
}

// CancelAtEnd sets the probability that a user cancels a job as its last task ends.
func (u *userGroup) CancelAtEnd(probability float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancelAtEndChance = probability
}

// CancelledAtEnd returns the number of jobs that users cancelled as the last task of the job ended.
func (u *userGroup) CancelledAtEnd() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cancelledAtEnd
}

// onTaskEnding is called just before a task completes. If it is the last task of its job, a user cancels the job less
// than 30 ms later, with the probability set by CancelAtEnd.
func (u *userGroup) onTaskEnding(task string) {
	u.mu.Lock()
	selected := u.random.chanceIfSet(u.cancelAtEndChance)
	u.mu.Unlock()
	delay := time.Duration(u.random.intN(30)) * time.Millisecond
	if !selected || !u.checker.isLastTask(task) {
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

// PollRepeatedly polls a job at all controllers in the given number of rounds, with a pause after each round. In the
// first of every three rounds, it also submits the job again to all controllers.
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

// Submit submits a job. It retries until the job is accepted or rejected as malformed or unschedulable, but at most
// maxUserAttempts times, and returns the last status code. An accepted job is submitted once more, to all other
// controllers and without waiting for their responses.
func (u *userGroup) Submit(spec *wire.JobSpec) int {
	u.checker.RegisterJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	controller, code := u.retryUntilFinal(operationSubmit, spec.ID, body)
	if code == http.StatusOK || code == http.StatusCreated {
		for k := 1; k < len(u.controllers.processes); k++ {
			go u.RequestAt((controller+k)%len(u.controllers.processes), operationSubmit, spec.ID, body)
		}
	}
	return code
}

// Cancel cancels a job. It retries like Submit, until the response is final; 404 is final too.
func (u *userGroup) Cancel(id string) int {
	_, code := u.retryUntilFinal(operationCancel, id, nil)
	return code
}

// retryUntilFinal sends a request to random controllers until the response is final. It returns the last status code
// and the controller that it came from.
func (u *userGroup) retryUntilFinal(operation, id string, body []byte) (controller, code int) {
	for range maxUserAttempts {
		controller = u.random.intN(len(u.controllers.processes))
		code, _ = u.RequestAt(controller, operation, id, body)
		switch code {
		case http.StatusOK, http.StatusCreated,
			http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
			return controller, code
		}
		time.Sleep(time.Second)
	}
	return controller, code
}

// Request sends a user's request to a random controller. It returns the status code and the job status in the response,
// or 0 if there is no response.
func (u *userGroup) Request(operation, id string, body []byte) (int, *wire.JobStatus) {
	return u.RequestAt(u.random.intN(len(u.controllers.processes)), operation, id, body)
}

// RequestAt is like Request, but sends to the given controller.
func (u *userGroup) RequestAt(controller int, operation, id string, body []byte) (int, *wire.JobStatus) {
	response := u.send(context.Background(), controller, operation, id, body)
	if kind := copiedOperations[operation]; kind != "" && response.code != 0 {
		u.copier.maybeCopy(kind, func() { u.send(context.Background(), controller, operation, id, body) })
	}
	return response.code, response.status
}

// copiedOperations are the operations that change something.
var copiedOperations = map[string]CopiedRequest{
	operationSubmit: CopiedSubmission,
	operationCancel: CopiedCancellation,
}

// userResponse is the response to a user's request; the zero value stands for no response.
type userResponse struct {
	code   int
	header http.Header
	body   []byte
	status *wire.JobStatus
}

// send sends a user's request to a controller and passes the response to the invariant checker.
func (u *userGroup) send(
	ctx context.Context, controller int, operation, id string, body []byte,
) (response userResponse) {
	if operation == operationCancel {
		u.checker.RecordCancelRequest(id)
	}
	before := u.checker.ClientViewOf(id)
	response = u.roundTrip(ctx, controller, operation, id, body)
	if response.code != 0 {
		u.checker.RecordResponse(id, operation, before, response.code, response.status)
	}
	if operation == operationPoll && response.code != http.StatusOK {
		u.checker.RecordUnanswered(id)
	}
	return response
}

// roundTrip sends a request and reads the response; any error counts as no response.
func (u *userGroup) roundTrip(ctx context.Context, controller int, operation, id string, body []byte) userResponse {
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
	defer func() { _ = resp.Body.Close() }() // ReadAll reports an incomplete body
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
