import { connect, type Socket } from 'node:net';

/** Host name that never resolves (RFC 6761); it is not looked up. */
const INVALID_HOST = 'unreachable.invalid';

/**
 * Creates a socket that emits `error` with the given reason, then `close`, for an address that cannot be
 * connected to.
 */
export function createFailedSocket(reason: unknown): Socket {
  const err = reason instanceof Error ? reason : new Error(String(reason));
  return connect({ host: INVALID_HOST, port: 1, lookup: (_host, _options, done) => done(err, '') });
}
