package peer_test

import (
	"context"
	"encoding/json"
	"fmt"

	"foxtailmux/model"
	"foxtailmux/peer"
)

func ExampleGroup_Call() {
	ctx := context.Background()
	server := peer.New(peer.Options{Self: model.Entry{ID: "entry2"}, ListenAddr: "127.0.0.1:0"})
	server.Handle("double", func(_ context.Context, params json.RawMessage) (any, error) {
		var n int
		err := json.Unmarshal(params, &n)
		return 2 * n, err
	})
	if err := server.Start(); err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = server.Close(ctx) }()

	client := peer.New(peer.Options{Self: model.Entry{ID: "entry1"}})
	defer func() { _ = client.Close(ctx) }()
	client.SetPeer("entry2", server.Addr())

	var result int
	err := client.Call(ctx, "entry2", "double", 21, &result)
	fmt.Println(result, err)
	// Output: 42 <nil>
}
