package upgrade

import "pewterline/control"

// wireMessage is a message as it is encoded. Both processes of an upgrade may be of different versions, so its keys never change.
type wireMessage struct {
	Kind           Kind         `cbor:"1,keyasint"`
	Name           string       `cbor:"2,keyasint,omitempty"`
	Class          string       `cbor:"3,keyasint,omitempty"`
	Tenant         string       `cbor:"4,keyasint,omitempty"`
	IdempotencyKey string       `cbor:"5,keyasint,omitempty"`
	ArrivedAtMilli int64        `cbor:"6,keyasint,omitempty"`
	Result         []byte       `cbor:"7,keyasint,omitempty"`
	OutOfService   bool         `cbor:"8,keyasint,omitempty"`
	Connections    int          `cbor:"9,keyasint,omitempty"`
	Reason         string       `cbor:"10,keyasint,omitempty"`
	Learned        *wireLearned `cbor:"11,keyasint,omitempty"`
}

// wireLearned is control.LearnedState as it is encoded.
type wireLearned struct {
	Limit    float64     `cbor:"Limit"`
	Alpha    float64     `cbor:"Alpha"`
	Said     float64     `cbor:"Said"`
	Usual    wireMean    `cbor:"Usual"`
	SlotTime wireMean    `cbor:"SlotTime"`
	CallTime wireMean    `cbor:"CallTime"`
	Classes  []wireClass `cbor:"Classes"`
}

// wireMean is control.MeanEstimate as it is encoded.
type wireMean struct {
	Count float64 `cbor:"N"`
	Value float64 `cbor:"V"`
}

// wireClass is control.LearnedClassState as it is encoded.
type wireClass struct {
	Name    string   `cbor:"Name"`
	Service wireMean `cbor:"Service"`
	Slot    wireMean `cbor:"Slot"`
	Away    wireMean `cbor:"Away"`
	Calls   wireMean `cbor:"Calls"`
}

// toWire returns the encoded form of what a process has learned, nil for nil.
func toWire(l *control.LearnedState) *wireLearned {
	if l == nil {
		return nil
	}
	w := &wireLearned{
		Limit:    l.ConcurrencyLimit,
		Alpha:    l.PriorityShare,
		Said:     l.LoadSignal,
		Usual:    wireMean(l.UsualSlowdown),
		SlotTime: wireMean(l.SlotTime),
		CallTime: wireMean(l.CallTime),
	}
	for _, class := range l.Classes {
		w.Classes = append(w.Classes, wireClass{
			Name:    class.Name,
			Service: wireMean(class.ServiceTime),
			Slot:    wireMean(class.SlotTime),
			Away:    wireMean(class.RejectedShare),
			Calls:   wireMean(class.CallsPerRequest),
		})
	}
	return w
}

// fromWire is the inverse of toWire.
func (w *wireLearned) fromWire() *control.LearnedState {
	if w == nil {
		return nil
	}
	l := &control.LearnedState{
		ConcurrencyLimit: w.Limit,
		PriorityShare:    w.Alpha,
		LoadSignal:       w.Said,
		UsualSlowdown:    control.MeanEstimate(w.Usual),
		SlotTime:         control.MeanEstimate(w.SlotTime),
		CallTime:         control.MeanEstimate(w.CallTime),
	}
	for _, class := range w.Classes {
		l.Classes = append(l.Classes, control.LearnedClassState{
			Name:            class.Name,
			ServiceTime:     control.MeanEstimate(class.Service),
			SlotTime:        control.MeanEstimate(class.Slot),
			RejectedShare:   control.MeanEstimate(class.Away),
			CallsPerRequest: control.MeanEstimate(class.Calls),
		})
	}
	return l
}
