import type { ServerHttp2Stream } from 'node:http2';
import type { RelayHead } from '#mesh/RelayHead.js';

/** Message to `ReceiverTask`: another daemon opened a stream. */
export interface ReceiverMessage {
  readonly type: 'opened';
  readonly stream: ServerHttp2Stream;
  readonly path: string;
  readonly head: RelayHead;
  readonly encoding: string | undefined;
  /** Announced length of the body, in bytes; undefined if an older daemon sent it. */
  readonly length: number | undefined;
}
