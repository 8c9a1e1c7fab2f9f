import { hashToken } from '#admin/HashToken.js';
import type { Catalogue } from '#catalogue/Catalogue.js';

const LIMITS = {
  ratePerSecond: 10_000,
  burst: 10_000,
  concurrency: 1_000,
  share: 1,
  priority: 5,
  defaultDeadlineMs: 2_000,
  maxDeadlineMs: 5_000,
  maxBodyBytes: 65_536,
  interRegionBytesPerSecond: 0,
};

/** Creates a catalogue with the keyed service `badges`; the tokens are `token-operators` and `token-alpha`. */
export function createCatalogue(): Catalogue {
  const owners = ['operators', 'alpha'].map((name) => ({
    name,
    tokenHashes: [hashToken(`token-${name}`)],
    operator: name === 'operators',
  }));
  const entry = {
    owner: 'alpha',
    service: 'badges',
    class: 'look',
    repeatable: true,
    evidence: 'sent' as const,
    homeRegions: [],
    limits: LIMITS,
  };
  const services = [{ name: 'badges', keyed: true, cells: 1, orderGraceMs: 0 }];
  return { regions: ['nairobi'], services, owners, entries: [entry] };
}
