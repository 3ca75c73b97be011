package peer

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// The jsonrpc2 library decodes parameters and encodes them again, which
// changes the order of their keys. Parameters whose bytes must not change
// travel as the only element of an array, as a string.

// wrap encodes parameters as an array of one string.
func wrap(params json.RawMessage) (json.RawMessage, error) {
	return json.Marshal([]string{string(params)})
}

// unwrap returns the parameters of a request. Those that are not an array were
// sent as they are.
func unwrap(params json.RawMessage) (json.RawMessage, error) {
	if !bytes.HasPrefix(params, []byte("[")) {
		return params, nil
	}

	var elements []string
	if err := json.Unmarshal(params, &elements); err != nil {
		return nil, eris.Wrap(err, "parameters are not an array of one string")
	}
	if len(elements) != 1 {
		return nil, eris.Errorf("parameters have %d elements, want 1", len(elements))
	}
	return json.RawMessage(elements[0]), nil
}
