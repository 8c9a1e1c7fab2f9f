import type { Readable } from 'node:stream';

/** Body of an order: held in memory if it is small, else a stream that can be read once. */
export type RequestBody = Buffer | Readable;
