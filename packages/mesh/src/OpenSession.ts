import { connect, type ClientHttp2Session, type ClientSessionOptions } from 'node:http2';
import { createFailedSocket } from '#mesh/CreateFailedSocket.js';

/** Stands for an address that is none, and is never connected to. */
const NO_AUTHORITY = 'http://0.0.0.0';

/** Opens a session with `host:port`. One that cannot be connected to fails by its events, as any other. */
export function openSession(address: string, options: ClientSessionOptions): ClientHttp2Session {
  try {
    return connect(`http://${address}`, options);
  } catch (err) {
    return connect(NO_AUTHORITY, { ...options, createConnection: () => createFailedSocket(err) });
  }
}
