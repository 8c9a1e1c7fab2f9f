import type { IncomingMessage, ServerResponse } from 'node:http';

const BAD_REQUEST = 400;

/** Answers a request without the required Host header as the last one of its connection. */
export function rejectMissingHost(req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(BAD_REQUEST, { 'Content-Length': 0, Connection: 'close' });
  res.end();
  req.resume();
}
