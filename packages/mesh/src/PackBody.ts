import { deflateRawSync } from 'node:zlib';
import type { PackedBody } from '#mesh/PackedBody.js';

/** Bodies below this size gain nothing. */
const LEAST_BYTES = 200;

/** A body is sent compressed if that leaves at most this part of it. */
const MOST_PART = 0.9;

/** A fast level: bytes between regions cost more than processor time, but latency counts. */
const LEVEL = 3;

/** Compresses a body for the way between daemons if that makes it clearly smaller. */
export function packBody(body: Buffer): PackedBody {
  if (body.length < LEAST_BYTES) return { bytes: body, encoding: 'plain' };
  const bytes = deflateRawSync(body, { level: LEVEL });
  return bytes.length <= body.length * MOST_PART
    ? { bytes, encoding: 'deflate' }
    : { bytes: body, encoding: 'plain' };
}
