import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { EntryLimits } from '#catalogue/EntryLimits.js';

const LIMITS: EntryLimits = {
  ratePerSecond: 100_000,
  burst: 100_000,
  concurrency: 1_000,
  share: 1,
  priority: 5,
  defaultDeadlineMs: 20_000,
  maxDeadlineMs: 20_000,
  maxBodyBytes: 100_000,
  interRegionBytesPerSecond: 0,
};

/**
 * Creates a catalogue of the keyed service `badges` with the classes `look` (repeatable), `pay` (not repeatable),
 * `proof` (repeatable, with receipts) and `home` (served in the region `r2` only) of the team `alpha`.
 */
export function createTestCatalogue(limits: Partial<EntryLimits> = {}): VersionedCatalogue {
  const entry = {
    owner: 'alpha',
    service: 'badges',
    class: 'look',
    repeatable: true,
    evidence: 'sent' as const,
    homeRegions: [],
    limits: { ...LIMITS, ...limits },
  };
  const entries = [
    entry,
    { ...entry, class: 'pay', repeatable: false },
    { ...entry, class: 'proof', evidence: 'receipt' as const },
    { ...entry, class: 'home', homeRegions: ['r2'] },
  ];
  const services = [{ name: 'badges', keyed: true, cells: 1, orderGraceMs: 0 }];
  const owners = [{ name: 'alpha', tokenHashes: [], operator: false }];
  return { version: 1, author: 'test', catalogue: { regions: ['r1', 'r2'], services, owners, entries } };
}
