import { connect, type Socket } from 'node:net';

/** A name that stands for no host (RFC 6761), and is never looked up. */
const NO_HOST = 'unreachable.invalid';

/** Creates a socket that cannot be opened for a known reason; its error and close events follow. */
export function createFailedSocket(reason: unknown): Socket {
  const err = reason instanceof Error ? reason : new Error(String(reason));
  return connect({ host: NO_HOST, port: 1, lookup: (_host, _options, done) => done(err, '') });
}
