import type { Readable } from 'node:stream';

/** Body of a request: a buffer if it is small, otherwise a stream that can be read only once. */
export type RequestBody = Buffer | Readable;
