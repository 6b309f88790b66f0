package upgrade

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterline/control"
)

// decodingMode limits the memory that a message can make the decoder allocate.
var decodingMode = func() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 1 << 12,
		MaxMapPairs:      1 << 10,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// messageEncoding defines the format of a message: a map with the fields' numbers as keys.
type messageEncoding struct {
	Kind           Kind             `cbor:"1,keyasint"`
	Name           string           `cbor:"2,keyasint,omitempty"`
	Class          string           `cbor:"3,keyasint,omitempty"`
	Tenant         string           `cbor:"4,keyasint,omitempty"`
	IdempotencyKey string           `cbor:"5,keyasint,omitempty"`
	ArrivedAtMilli int64            `cbor:"6,keyasint,omitempty"`
	Result         []byte           `cbor:"7,keyasint,omitempty"`
	OutOfService   bool             `cbor:"8,keyasint,omitempty"`
	Connections    int              `cbor:"9,keyasint,omitempty"`
	Reason         string           `cbor:"10,keyasint,omitempty"`
	Learned        *learnedEncoding `cbor:"11,keyasint,omitempty"`
}

// learnedEncoding defines the format of control.LearnedState.
type learnedEncoding struct {
	ConcurrencyLimit float64         `cbor:"Limit"`
	PriorityShare    float64         `cbor:"Alpha"`
	LoadSignal       float64         `cbor:"Said"`
	UsualSlowdown    meanEncoding    `cbor:"Usual"`
	SlotTime         meanEncoding    `cbor:"SlotTime"`
	CallTime         meanEncoding    `cbor:"CallTime"`
	Classes          []classEncoding `cbor:"Classes"`
}

// meanEncoding defines the format of control.MeanEstimate.
type meanEncoding struct {
	Count float64 `cbor:"N"`
	Value float64 `cbor:"V"`
}

// classEncoding defines the format of control.LearnedClassState.
type classEncoding struct {
	Name            string       `cbor:"Name"`
	ServiceTime     meanEncoding `cbor:"Service"`
	SlotTime        meanEncoding `cbor:"Slot"`
	RejectedShare   meanEncoding `cbor:"Away"`
	CallsPerRequest meanEncoding `cbor:"Calls"`
}

// encode returns the body of a message.
func encode(message Message) []byte {
	body, err := cbor.Marshal(messageEncoding{
		Kind:           message.Kind,
		Name:           message.Name,
		Class:          message.Class,
		Tenant:         message.Tenant,
		IdempotencyKey: message.IdempotencyKey,
		ArrivedAtMilli: message.ArrivedAtMilli,
		Result:         message.Result,
		OutOfService:   message.OutOfService,
		Connections:    message.Connections,
		Reason:         message.Reason,
		Learned:        encodeLearned(message.Learned),
	})
	if err != nil {
		panic(fmt.Sprintf("upgrade: %v", err)) // the types above can all be encoded
	}
	return body
}

// Decode decodes the body of a message.
func Decode(body []byte) (Message, error) {
	var encoded messageEncoding
	if err := decodingMode.Unmarshal(body, &encoded); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if !encoded.Kind.valid() {
		return Message{}, fmt.Errorf("%w: a message of %v", ErrMalformedFrame, encoded.Kind)
	}
	return Message{
		Kind:           encoded.Kind,
		Name:           encoded.Name,
		Class:          encoded.Class,
		Tenant:         encoded.Tenant,
		IdempotencyKey: encoded.IdempotencyKey,
		ArrivedAtMilli: encoded.ArrivedAtMilli,
		Result:         encoded.Result,
		OutOfService:   encoded.OutOfService,
		Connections:    encoded.Connections,
		Reason:         encoded.Reason,
		Learned:        encoded.Learned.decode(),
	}, nil
}

// encodeLearned encodes the learned state of a process, which may be nil.
func encodeLearned(learned *control.LearnedState) *learnedEncoding {
	if learned == nil {
		return nil
	}
	encoded := &learnedEncoding{
		ConcurrencyLimit: learned.ConcurrencyLimit,
		PriorityShare:    learned.PriorityShare,
		LoadSignal:       learned.LoadSignal,
		UsualSlowdown:    meanEncoding(learned.UsualSlowdown),
		SlotTime:         meanEncoding(learned.SlotTime),
		CallTime:         meanEncoding(learned.CallTime),
	}
	for _, class := range learned.Classes {
		encoded.Classes = append(encoded.Classes, classEncoding{
			Name:            class.Name,
			ServiceTime:     meanEncoding(class.ServiceTime),
			SlotTime:        meanEncoding(class.SlotTime),
			RejectedShare:   meanEncoding(class.RejectedShare),
			CallsPerRequest: meanEncoding(class.CallsPerRequest),
		})
	}
	return encoded
}

// decode is the inverse of encodeLearned.
func (e *learnedEncoding) decode() *control.LearnedState {
	if e == nil {
		return nil
	}
	learned := &control.LearnedState{
		ConcurrencyLimit: e.ConcurrencyLimit,
		PriorityShare:    e.PriorityShare,
		LoadSignal:       e.LoadSignal,
		UsualSlowdown:    control.MeanEstimate(e.UsualSlowdown),
		SlotTime:         control.MeanEstimate(e.SlotTime),
		CallTime:         control.MeanEstimate(e.CallTime),
	}
	for _, class := range e.Classes {
		learned.Classes = append(learned.Classes, control.LearnedClassState{
			Name:            class.Name,
			ServiceTime:     control.MeanEstimate(class.ServiceTime),
			SlotTime:        control.MeanEstimate(class.SlotTime),
			RejectedShare:   control.MeanEstimate(class.RejectedShare),
			CallsPerRequest: control.MeanEstimate(class.CallsPerRequest),
		})
	}
	return learned
}
