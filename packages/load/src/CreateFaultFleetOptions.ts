import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Entry } from '#catalogue/Entry.js';
import type { Instance } from '#settings/Instance.js';
import type { FleetOptions } from '#load/FleetOptions.js';

const SERVICE = 'accounts';
const REGION = 'r1';
const INSTANCE_COUNT = 6;
const FAILURE_DOMAIN_COUNT = 3;
const MEAN_SERVICE_MS = 15;
/** Covers the longest request: 1.5 times the mean, 3 times that on a cold server, and a margin for a busy machine. */
const ORDER_GRACE_MS = 200;
/** Half of each default. */
const TIMINGS = { leaseMs: 750, renewEveryMs: 200, clockDrift: 0.01 } as const;

/** Creates the options of a fleet of six instances of one keyed service in three failure domains of one region. */
export function createFaultFleetOptions(
  command: readonly string[],
  seed: number,
  logs: string,
): FleetOptions {
  return {
    command,
    instances: Array.from({ length: INSTANCE_COUNT }, (_, index) => createInstance(index)),
    catalogue: createCatalogue(),
    serviceMs: MEAN_SERVICE_MS,
    coldStartMs: 500,
    seed,
    timings: TIMINGS,
    logs,
  };
}

function createInstance(index: number): Instance {
  return {
    serverId: `s${index}`,
    service: SERVICE,
    region: REGION,
    failureDomain: `d${index % FAILURE_DOMAIN_COUNT}`,
    vm: `vm${index}`,
    slots: 8,
    connections: 60,
    // One server of each failure domain checks the token.
    checksToken: index < FAILURE_DOMAIN_COUNT,
  };
}

function createCatalogue(): Catalogue {
  return {
    regions: [REGION],
    services: [{ name: SERVICE, keyed: true, cells: 1, orderGraceMs: ORDER_GRACE_MS }],
    owners: [
      { name: 'alpha', tokenHashes: ['a'.repeat(64)], operator: true },
      { name: 'beta', tokenHashes: ['b'.repeat(64)], operator: false },
    ],
    entries: [
      createEntry('alpha', 'read', true),
      createEntry('alpha', 'pay', false),
      createEntry('beta', 'pay', false),
    ],
  };
}

function createEntry(owner: string, name: string, repeatable: boolean): Entry {
  return {
    owner,
    service: SERVICE,
    class: name,
    repeatable,
    evidence: repeatable ? 'sent' : 'receipt',
    homeRegions: [],
    limits: {
      ratePerSecond: 5000,
      burst: 1000,
      concurrency: 500,
      share: 1,
      priority: 1,
      defaultDeadlineMs: 2000,
      maxDeadlineMs: 10_000,
      maxBodyBytes: 4096,
      interRegionBytesPerSecond: 0,
    },
  };
}
