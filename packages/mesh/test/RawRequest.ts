import type { Socket } from 'node:net';

/** A request that `RawServer` received. */
export interface RawRequest {
  readonly head: string;
  readonly id: string;
  readonly socket: Socket;
  /** Number of the connection, from 1. */
  readonly connection: number;
}
