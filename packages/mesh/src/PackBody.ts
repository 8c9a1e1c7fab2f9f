import { deflateRawSync } from 'node:zlib';
import type { PackedBody } from '#mesh/PackedBody.js';

/** Smaller bodies are sent uncompressed, as they gain nothing. */
const MIN_COMPRESSED_BYTES = 200;

/** A body is sent compressed only if its size shrinks to at most this fraction. */
const MAX_COMPRESSION_RATIO = 0.9;

/** Fast compression level: bytes between regions cost more than processor time, but a higher level adds latency. */
const DEFLATE_LEVEL = 3;

/** Size of the sample in the middle of a body, and the number of distinct byte values from which it counts as random. */
const SAMPLE_BYTES = 128;
const MIN_RANDOM_VALUES = 80;

/** Compresses a body for the transfer to another daemon if that makes it clearly smaller. */
export function packBody(body: Buffer): PackedBody {
  if (body.length < MIN_COMPRESSED_BYTES || looksRandom(body)) return { bytes: body, encoding: 'plain' };
  const bytes = deflateRawSync(body, { level: DEFLATE_LEVEL });
  return bytes.length <= body.length * MAX_COMPRESSION_RATIO
    ? { bytes, encoding: 'deflate' }
    : { bytes: body, encoding: 'plain' };
}

/** Whether a body looks compressed or encrypted already, so that compressing it would only cost time. */
function looksRandom(body: Buffer): boolean {
  const start = Math.floor((body.length - SAMPLE_BYTES) / 2);
  return new Set(body.subarray(start, start + SAMPLE_BYTES)).size >= MIN_RANDOM_VALUES;
}
