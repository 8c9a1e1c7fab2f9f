import type { LogEntry } from '#cli/LogEntry.js';

/** Changes that explain a decision, by the step at which they arise. */
const CAUSES: ReadonlySet<string> = new Set([
  'keysTransferred',
  'leaseHeld',
  'leaseLapsed',
  'leaseNotRenewed',
  'leaseRevoke',
  'leaseRevoked',
  'ownerRenewed',
  'peerUnreachable',
  'release',
  'releaseAll',
  'routesApplied',
  'serverCrashed',
  'serverDied',
  'serverLeaves',
  'serverReplaced',
  'started',
  'stopping',
  'storeLost',
  'storeRegained',
  'takeover',
]);

/**
 * Lists the lines about a request, and the changes that the daemons concerned noted around them, in order of time.
 * `aroundMs` is how far from the request's lines a change may lie; it has to cover the difference of the clocks.
 */
export function traceRequest(
  entries: readonly LogEntry[],
  id: string,
  aroundMs: number,
): readonly LogEntry[] {
  const own = entries.filter(({ fields }) => fields.get('id') === id);
  const files = new Set(own.map(({ file }) => file));
  const times = own.map(({ atMs, fields }) => [atMs - Number(fields.get('tookMs') ?? 0), atMs]).flat();
  const fromMs = Math.min(...times) - aroundMs;
  const toMs = Math.max(...times) + aroundMs;
  const causes = entries.filter(
    ({ file, event, atMs }) => files.has(file) && CAUSES.has(event) && atMs >= fromMs && atMs <= toMs,
  );
  return [...own, ...causes].toSorted((left, right) => left.atMs - right.atMs);
}
