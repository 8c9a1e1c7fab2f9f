import type { LogEntry } from '#cli/LogEntry.js';

/** Log events of state changes that may explain how a request was handled. */
const STATE_CHANGE_EVENTS: ReadonlySet<string> = new Set([
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
 * Lists in order of time the log lines about a request, and the state changes logged around the same time by daemons
 * that the request reached. `aroundMs` is how long before or after the request a state change may be; it must be at
 * least the difference between the clocks of the daemons.
 */
export function traceRequest(
  entries: readonly LogEntry[],
  id: string,
  aroundMs: number,
): readonly LogEntry[] {
  const requestLines = entries.filter(({ fields }) => fields.get('id') === id);
  const files = new Set(requestLines.map(({ file }) => file));
  const times = requestLines
    .map(({ atMs, fields }) => [atMs - Number(fields.get('tookMs') ?? 0), atMs])
    .flat();
  const fromMs = Math.min(...times) - aroundMs;
  const toMs = Math.max(...times) + aroundMs;
  const stateChanges = entries.filter(
    ({ file, event, atMs }) =>
      files.has(file) && STATE_CHANGE_EVENTS.has(event) && atMs >= fromMs && atMs <= toMs,
  );
  return [...requestLines, ...stateChanges].toSorted((left, right) => left.atMs - right.atMs);
}
