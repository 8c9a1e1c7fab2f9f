import type { ServerHttp2Stream } from 'node:http2';
import type { RelayHead } from '#mesh/RelayHead.js';

/** Messages to `ReceiverTask`. */
export type ReceiverMessage =
  /** Another daemon opened a stream. */
  | {
      readonly type: 'opened';
      readonly stream: ServerHttp2Stream;
      readonly path: string;
      readonly head: RelayHead;
      readonly encoding: string | undefined;
      /** Announced length of the body, in bytes; undefined if an older daemon sent it. */
      readonly length: number | undefined;
    }
  /** This daemon stops: sessions end once their results are delivered, and new streams are refused. */
  | { readonly type: 'ending' };
