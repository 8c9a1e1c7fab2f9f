import type { SemanticFault } from '#catalogue/SemanticFault.js';
import { isNumericAddress } from '#settings/IsNumericAddress.js';
import { parsePeerAddress } from '#settings/ParsePeerAddress.js';
import type { Settings } from '#settings/Settings.js';
import type { Timings } from '#settings/Timings.js';

const TCP_PORTS = ['caller', 'peer', 'admin', 'backend'] as const;
const UNSPECIFIED_HOSTS: readonly string[] = ['0.0.0.0', '::'];

// A lease holder needs two renewals within the length of a lease, and one more in case one is lost.
const MIN_RENEWALS_PER_LEASE = 3;

// A retry may wait for a planned move and must still find the idempotency record of its first attempt.
const MIN_LEASES_PER_HORIZON = 2;

// A key with fewer distinct characters is probably a placeholder, such as a repeated letter.
const MIN_DISTINCT_KEY_CHARACTERS = 8;

/** Returns the faults of settings that a schema cannot express. */
export function checkSettings(settings: Settings): readonly SemanticFault[] {
  return [
    ...checkHost(settings.host),
    ...checkStoreUrl(settings.storeUrl),
    ...checkSeeds(settings.seeds),
    ...checkFleetKey(settings.fleetKey),
    ...checkPorts(settings.ports),
    ...checkTimings(settings.timings),
  ];
}

function checkHost(host: string): readonly SemanticFault[] {
  if (!isNumericAddress(host)) return [{ path: ['host'], message: 'must be a numeric IP address' }];
  if (UNSPECIFIED_HOSTS.includes(host))
    return [{ path: ['host'], message: 'must be an address at which peers can reach this daemon' }];
  return [];
}

function checkStoreUrl(storeUrl: string): readonly SemanticFault[] {
  const path = ['storeUrl'];
  if (!URL.canParse(storeUrl)) return [{ path, message: 'is not a URL' }];
  const { protocol, hostname, pathname, search } = new URL(storeUrl);
  if (protocol !== 'http:' && protocol !== 'https:')
    return [{ path, message: 'must start with http:// or https://' }];
  if (!isNumericAddress(hostname.replace(/^\[|\]$/g, '')))
    return [{ path, message: 'must name a numeric IP address' }];
  if (pathname !== '/' || search !== '') return [{ path, message: 'must have no path and no query' }];
  return [];
}

function checkSeeds(seeds: readonly string[]): readonly SemanticFault[] {
  return seeds.flatMap((seed, index) =>
    parsePeerAddress(seed) === undefined
      ? [
          {
            path: ['seeds', index],
            message: 'must be a numeric IP address and a port, for example 10.0.0.5:7101',
          },
        ]
      : [],
  );
}

function checkFleetKey(fleetKey: string): readonly SemanticFault[] {
  return new Set(fleetKey).size < MIN_DISTINCT_KEY_CHARACTERS
    ? [
        {
          path: ['fleetKey'],
          message: `must have at least ${MIN_DISTINCT_KEY_CHARACTERS} distinct characters`,
        },
      ]
    : [];
}

function checkPorts(ports: Settings['ports']): readonly SemanticFault[] {
  return TCP_PORTS.flatMap((name, index) => {
    const other = TCP_PORTS.slice(0, index).find((earlier) => ports[earlier] === ports[name]);
    if (ports[name] === 0 || other === undefined) return [];
    return [{ path: ['ports', name], message: `is the same as ports.${other}` }];
  });
}

function checkTimings(timings: Timings): readonly SemanticFault[] {
  const { leaseMs, renewEveryMs, onceHorizonMs } = timings;
  const faults: readonly (SemanticFault | undefined)[] = [
    renewEveryMs * MIN_RENEWALS_PER_LEASE > leaseMs
      ? { path: ['timings', 'renewEveryMs'], message: `must be at most a third of leaseMs (${leaseMs})` }
      : undefined,
    onceHorizonMs < leaseMs * MIN_LEASES_PER_HORIZON
      ? { path: ['timings', 'onceHorizonMs'], message: `must be at least twice leaseMs (${leaseMs})` }
      : undefined,
  ];
  return faults.filter((fault) => fault !== undefined);
}
