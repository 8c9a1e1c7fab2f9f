import { timingSafeEqual } from 'node:crypto';

/** Compares two signatures in a time that does not depend on their content. */
export function isSameMac(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
