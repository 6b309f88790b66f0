package sim

import "pewterline/internal/protocol/pool"

// message is a parsed command with its bytes.
type message[T any] struct {
	command T
	raw     []byte
}

// commands parses what the program writes at once: whole commands.
func commands[T any](out []byte, parse func([]byte) (T, int, error)) (parsed []message[T]) {
	for len(out) > 0 {
		command, size, err := parse(out)
		if err != nil || size == 0 {
			panic("sim: the program wrote half a command")
		}
		parsed = append(parsed, message[T]{command, out[:size]})
		out = out[size:]
	}
	return parsed
}

// poolMessages parses the whole messages in what was received. Their bodies share its memory.
func poolMessages(in []byte) (messages []pool.Message) {
	for {
		m, n, err := pool.ParseMessage(in)
		if err != nil || n == 0 {
			return messages
		}
		messages = append(messages, m)
		in = in[n:]
	}
}
