package fakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// registerTimeout bounds the request for a registration.
const registerTimeout = 5 * time.Second

// Register adds the worker to the list of instances of the platform at the
// address. It fails with KindRegister unless the platform confirms.
func Register(platformAddr string, worker model.Worker) error {
	body, err := json.Marshal(worker)
	if err != nil {
		return &Error{Op: "register worker", Kind: KindRegister, Err: err}
	}
	target := "http://" + platformAddr + workersPath + url.PathEscape(worker.ID)
	request, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "register worker", Kind: KindRegister, Err: err}
	}

	client := http.Client{Timeout: registerTimeout}
	response, err := client.Do(request)
	if err != nil {
		return &Error{Op: "register worker", Kind: KindRegister, Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		err := eris.Errorf("status %d", response.StatusCode)
		return &Error{Op: "register worker", Kind: KindRegister, Err: err}
	}
	return nil
}
