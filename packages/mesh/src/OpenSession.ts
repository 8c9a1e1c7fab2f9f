import { connect, type ClientHttp2Session, type ClientSessionOptions } from 'node:http2';
import { createFailedSocket } from '#mesh/CreateFailedSocket.js';

/** Placeholder authority for an invalid address; no connection to it is opened. */
const PLACEHOLDER_AUTHORITY = 'http://0.0.0.0';

/** Opens an HTTP/2 session with `host:port`. An invalid address leads to an `error` event, as a failed connection does. */
export function openSession(address: string, options: ClientSessionOptions): ClientHttp2Session {
  try {
    return connect(`http://${address}`, options);
  } catch (err) {
    return connect(PLACEHOLDER_AUTHORITY, { ...options, createConnection: () => createFailedSocket(err) });
  }
}
