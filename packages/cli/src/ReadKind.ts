import type { Withdrawal } from '#control/Withdrawal.js';
import { UsageError } from '#cli/UsageError.js';

const KINDS: ReadonlyMap<string, Withdrawal['kind']> = new Map([
  ['failure-domain', 'failureDomain'],
  ['vm', 'vm'],
  ['server', 'server'],
]);

/** Reads the kind of what is drained or returned to service. */
export function readKind(text: string): Withdrawal['kind'] {
  const kind = KINDS.get(text);
  if (kind !== undefined) return kind;
  throw new UsageError(`the kind must be one of ${[...KINDS.keys()].join(', ')}`);
}
