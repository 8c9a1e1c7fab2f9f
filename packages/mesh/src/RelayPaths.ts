/** Paths of the HTTP/2 requests between daemons. */
export const relayPaths = Object.freeze({ requests: '/orders', calls: '/calls' });
