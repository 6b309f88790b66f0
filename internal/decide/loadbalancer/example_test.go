package loadbalancer_test

import (
	"fmt"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
)

// The connection for an attempt is refused. The endpoint is ejected, and the request is retried at the other endpoint.
func Example() {
	balancer, err := loadbalancer.New(loadbalancer.Config{Classes: 1}, 1)
	if err != nil {
		panic(err)
	}
	policy, err := loadbalancer.NewRetryPolicy(loadbalancer.RetryConfig{})
	if err != nil {
		panic(err)
	}
	const caller = 7
	now := microtime.Second
	deadline := now + 2*microtime.Second
	balancer.Add(now, "a")
	balancer.Add(now, "b")

	request := loadbalancer.Request{Idempotent: true}
	policy.RecordFirstAttempt(now, caller)
	first, _ := balancer.Pick(now, request)
	balancer.AttemptStarted(now, first)
	now += microtime.Millisecond
	balancer.AttemptEnded(now, first, loadbalancer.Result{Outcome: loadbalancer.ConnectFailed})

	request.Exclude = append(request.Exclude, first.Endpoint)
	decision := policy.Decide(now, loadbalancer.FailedAttempt{
		Caller:         caller,
		Idempotent:     true,
		Attempts:       1,
		Outcome:        loadbalancer.ConnectFailed,
		EarliestFinish: balancer.EarliestFinish(now, request),
		Deadline:       deadline,
	})
	fmt.Println(decision)

	retry, _ := balancer.Pick(now, request)
	fmt.Println("another endpoint:", retry.Endpoint != first.Endpoint)
	for _, endpoint := range balancer.Endpoints(now) {
		if endpoint.Name == first.Endpoint {
			fmt.Println("the first one is", endpoint.State)
		}
	}
	// Output:
	// retry elsewhere
	// another endpoint: true
	// the first one is down
}
