import type { FlowControl } from '#proxy/FlowControl.js';

/** Receives the response to one HTTP request that a task sent, or its error. */
export interface ResponseListener {
  readonly onHead: (
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
    flow: FlowControl,
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  /** Called if no complete response comes; `sent` is whether a byte of the request may have reached the peer. */
  readonly onError: (err: Error, sent: boolean, cancelled: boolean) => void;
}
