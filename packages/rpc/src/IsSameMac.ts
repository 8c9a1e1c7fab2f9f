import { timingSafeEqual } from 'node:crypto';

/** Compares two signatures in constant time, so that response times reveal nothing about the expected one. */
export function isSameMac(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
