package sim

import "pewterline/internal/protocol/pool"

// message is a parsed command and its encoding.
type message[T any] struct {
	command T
	raw     []byte
}

// commands parses the output of one write of the program, which always consists of whole commands.
func commands[T any](out []byte, parse func([]byte) (T, int, error)) (parsed []message[T]) {
	for len(out) > 0 {
		command, size, err := parse(out)
		if err != nil || size == 0 {
			panic("sim: the program wrote an incomplete command")
		}
		parsed = append(parsed, message[T]{command, out[:size]})
		out = out[size:]
	}
	return parsed
}

// poolMessages parses the complete messages in received bytes. The bodies of the messages share the memory of in.
func poolMessages(in []byte) (messages []pool.Message) {
	for {
		parsed, size, err := pool.ParseMessage(in)
		if err != nil || size == 0 {
			return messages
		}
		messages = append(messages, parsed)
		in = in[size:]
	}
}
