import { createServer, type Server } from 'node:http';
import { Socket } from 'node:net';
import type { CallerMessage } from '#mesh/CallerMessage.js';

/** Interval at which `node:http` looks for heads that do not arrive in time, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 1_000;

/** Idle time of a connection until the configuration is known, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Creates the HTTP server for callers, which posts its events as messages and ends no connection by itself. */
export function createCallerServer(
  maxHeadBytes: number,
  post: (message: CallerMessage) => void,
  onAccepted: () => void,
): Server {
  const server = createServer({
    maxHeaderSize: maxHeadBytes,
    connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    requestTimeout: 0,
    noDelay: true,
    // The task refuses a request without Host, so that none behind it is passed on.
    requireHostHeader: false,
  });
  server.on('request', (req, res) => post({ type: 'request', req, res }));
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    if (socket instanceof Socket) post({ type: 'malformed', socket, code: err.code ?? '' });
  });
  // Without a listener, `node:http` destroys the connection of a CONNECT request.
  server.on('connect', ({ socket }) => {
    post({ type: 'malformed', socket, code: 'CONNECT' });
    // `node:http` no longer reads the connection.
    socket.on('error', () => undefined).resume();
  });
  // With this listener, `node:http` does not destroy connections that time out. A request that has arrived is read first.
  server.on('timeout', (socket: Socket) => setImmediate(() => post({ type: 'timedOut', socket })));
  server.on('connection', (socket: Socket) => {
    onAccepted();
    post({ type: 'connected', socket });
    // After the caller's end of stream no response can reach it; 'end' is emitted some iterations before 'close'.
    socket.on('end', () => post({ type: 'closed', socket, by: 'caller' }));
    socket.on('close', (hadError) => post({ type: 'closed', socket, by: hadError ? 'caller' : 'daemon' }));
  });
  return server;
}
