// Command foxtailmux dispatches sub-second tasks from callers to endpoints.
package main

func main() {}
