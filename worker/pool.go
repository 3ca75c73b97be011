package worker

import (
	"context"
	"net"
	"time"
)

// popIdle takes the most recently used idle connection out of the pool. It returns nil if
// there is none and counts the connection that the caller then opens.
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

// connect opens a connection, which popIdle has counted already.
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

// release puts a connection back into the pool after a response, or closes it if the worker
// announced that it closes the connection.
func (c *Client) release(k *conn, closing bool) {
	if closing {
		c.closeConn(k)
		return
	}
	c.putIdle(k)
}

// putIdle puts a connection into the pool, or closes it if the client is closed.
func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		c.open--
		_ = k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// closeAfterFailure closes a connection whose request failed. After a timeout it closes the idle
// connections too, since a firewall or proxy on the path may have lost the state of all of
// them and now drops their packets silently.
func (c *Client) closeAfterFailure(k *conn, deadline time.Time) {
	c.closeConn(k)
	if !time.Now().Before(deadline) {
		c.CloseIdleConnections(0)
	}
}

// closeConn closes a connection that is not in the pool.
func (c *Client) closeConn(k *conn) {
	_ = k.Close()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// CloseIdleConnections closes the connections that have been idle for age or longer.
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

// OpenConnections returns the number of connections that are idle, in use or being opened.
func (c *Client) OpenConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.open
}

// Close closes the idle connections. Connections in use are closed after their request.
func (c *Client) Close() {
	c.CloseIdleConnections(0)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
