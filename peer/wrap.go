package peer

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// wrap encodes parameters as an array with one string, which holds their JSON text. The
// jsonrpc2 library decodes parameters and encodes them again, which changes the order of
// keys in objects; the bytes of a string stay as they are.
func wrap(params json.RawMessage) (json.RawMessage, error) {
	return json.Marshal([]string{string(params)})
}

// unwrap returns the parameters of a request. Parameters that are not an array were sent
// without wrap, by CallWithoutProbe.
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
