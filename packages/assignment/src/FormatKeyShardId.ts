import { digestKey } from '#assignment/DigestKey.js';

/** Returns the id of the hot-key row that a key has or would have. */
export function formatKeyShardId(placement: string, key: string): string {
  return `${placement}/key:${digestKey(key)}`;
}
