package worker

import (
	"context"
	"net"
	"time"
)

func (c *Client) popIdle() (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: net.ErrClosed}
	}

	last := len(c.idle) - 1
	if last < 0 {
		c.open++
		return nil, nil
	}
	k := c.idle[last]
	c.idle = c.idle[:last]
	return k, nil
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	raw, err := c.dial(ctx, c.addr)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	return newConn(raw), nil
}

func (c *Client) keep(k *conn, closing bool) {
	if closing {
		c.discard(k)
		return
	}
	c.put(k)
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		c.open--
		_ = k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// drop closes a connection that failed. After a timeout the other idle ones
// are suspect too, since something between may have lost track of them all.
func (c *Client) drop(k *conn, deadline time.Time) {
	c.discard(k)
	if !time.Now().Before(deadline) {
		c.CloseIdleConnections(0)
	}
}

func (c *Client) discard(k *conn) {
	_ = k.Close()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// CloseIdleConnections closes the connections that were idle for longer than age.
func (c *Client) CloseIdleConnections(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	kept := c.idle[:0]
	for _, k := range c.idle {
		if time.Since(k.lastUsed) < age {
			kept = append(kept, k)
			continue
		}
		c.open--
		_ = k.Close()
	}
	c.idle = kept
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.open
}

// Close closes the idle connections; those in use close after their request.
func (c *Client) Close() {
	c.CloseIdleConnections(0)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
