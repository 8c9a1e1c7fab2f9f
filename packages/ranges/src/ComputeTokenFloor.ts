/** Number of fencing tokens of one era of the store. Eras and tokens together fit a safe integer for eras below 2^21. */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * Returns the lowest fencing token of an era of the store. It is higher than all tokens of earlier eras, also of those that
 * were lost with the tables that contained them. In era 0 it is 0.
 */
export function computeTokenFloor(era: number): number {
  return era * TOKENS_PER_ERA;
}
