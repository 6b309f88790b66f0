package control

import "math"

// demand counts what was recently asked of the server and what of it was rejected, fading with fadeTime.
type demand struct {
	arrivals     float64
	retries      float64 // arrivals that were marked as retries
	rejections   float64
	priorityLoad float64 // slot seconds a second that the priority classes ask for
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

// priorityRequestArrived counts the slot time that a request of a priority class asks for.
func (d *demand) priorityRequestArrived(slotSeconds float64) {
	d.priorityLoad += slotSeconds / fadeTime.Seconds()
}

// undoArrival takes back what requestArrived counted.
func (d *demand) undoArrival(retry bool) {
	d.arrivals = math.Max(d.arrivals-1, 0)
	if retry {
		d.retries = math.Max(d.retries-1, 0)
	}
}

// undoPriorityArrival takes back what priorityRequestArrived counted.
func (d *demand) undoPriorityArrival(slotSeconds float64) {
	d.priorityLoad = math.Max(d.priorityLoad-slotSeconds/fadeTime.Seconds(), 0)
}

// rejectedShare is the share of arrivals that were rejected. It may exceed 1, as a rejection comes after its arrival.
func (d *demand) rejectedShare() float64 { return d.rejections / math.Max(d.arrivals, 1) }

// retryRatio is the number of retries for each first attempt.
func (d *demand) retryRatio() float64 { return d.retries / math.Max(d.arrivals-d.retries, 1) }
