package control

import "math"

// demand counts the recent arrivals and rejections. All figures fade with time constant fadeTime.
type demand struct {
	arrivals     float64
	retries      float64 // arrivals that were marked as retries
	rejections   float64
	priorityLoad float64 // slot seconds per second that arrivals of the priority classes need
}

// advance multiplies all figures by fade.
func (d *demand) advance(fade float64) {
	d.arrivals *= fade
	d.retries *= fade
	d.rejections *= fade
	d.priorityLoad *= fade
}

// requestArrived counts an arrival.
func (d *demand) requestArrived(retry bool) {
	d.arrivals++
	if retry {
		d.retries++
	}
}

// priorityRequestArrived counts the slot time that a request of a priority class needs.
func (d *demand) priorityRequestArrived(slotSeconds float64) {
	d.priorityLoad += slotSeconds / fadeTime.Seconds()
}

// undoArrival reverts requestArrived.
func (d *demand) undoArrival(retry bool) {
	d.arrivals = math.Max(d.arrivals-1, 0)
	if retry {
		d.retries = math.Max(d.retries-1, 0)
	}
}

// undoPriorityArrival reverts priorityRequestArrived.
func (d *demand) undoPriorityArrival(slotSeconds float64) {
	d.priorityLoad = math.Max(d.priorityLoad-slotSeconds/fadeTime.Seconds(), 0)
}

// rejectedShare returns the share of arrivals that were rejected. It may exceed 1, as an arrival is counted before its
// rejection and has faded more.
func (d *demand) rejectedShare() float64 { return d.rejections / math.Max(d.arrivals, 1) }

// retryRatio returns the number of retries per first attempt.
func (d *demand) retryRatio() float64 { return d.retries / math.Max(d.arrivals-d.retries, 1) }
