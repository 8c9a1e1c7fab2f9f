import { createHmac } from 'node:crypto';

/** 128 bits make a forgery improbable and keep a `renew` message within 150 bytes. */
const MAC_BYTES = 16;

/** Computes the HMAC-SHA256 of `text` with the fleet key, truncated to 16 bytes. */
export function computeMac(fleetKey: string, text: string): Buffer {
  return createHmac('sha256', fleetKey).update(text).digest().subarray(0, MAC_BYTES);
}
