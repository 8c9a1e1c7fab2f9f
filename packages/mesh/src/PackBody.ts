import { deflateRawSync } from 'node:zlib';
import type { PackedBody } from '#mesh/PackedBody.js';

/** Bodies below this size gain nothing. */
const LEAST_BYTES = 200;

/** A body is sent compressed if that leaves at most this part of it. */
const MOST_PART = 0.9;

/** A fast level: bytes between regions cost more than processor time, but latency counts. */
const LEVEL = 3;

/** Bytes in the middle of a body by which it is judged, and distinct values from which it looks like random bytes. */
const SAMPLE_BYTES = 128;
const RANDOM_VALUES = 80;

/** Compresses a body for the way between daemons if that makes it clearly smaller. */
export function packBody(body: Buffer): PackedBody {
  if (body.length < LEAST_BYTES || looksRandom(body)) return { bytes: body, encoding: 'plain' };
  const bytes = deflateRawSync(body, { level: LEVEL });
  return bytes.length <= body.length * MOST_PART
    ? { bytes, encoding: 'deflate' }
    : { bytes: body, encoding: 'plain' };
}

/** Whether a body is compressed or encrypted already, so that an attempt would only cost time. */
function looksRandom(body: Buffer): boolean {
  const start = Math.floor((body.length - SAMPLE_BYTES) / 2);
  return new Set(body.subarray(start, start + SAMPLE_BYTES)).size >= RANDOM_VALUES;
}
