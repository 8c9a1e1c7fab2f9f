import type { RouteDifference } from '#routes/RouteDifference.js';
import type { RouteSubject } from '#routes/RouteSubject.js';
import type { RouteTable } from '#routes/RouteTable.js';

type Fields = Readonly<Record<string, unknown>>;

/** Fields of which a greater number permits more. */
const UPPER_LIMITS: ReadonlySet<string> = new Set([
  'timeoutMs',
  'maxAttempts',
  'maxHeaderBytes',
  'maxBodyBytes',
  'headerTimeoutMs',
  'idleTimeoutMs',
  'maxConnections',
  'coldPerSecond',
  'burst',
]);

/** Lists what differs from the configuration in force, by limit, route, service and tenant. */
export function diffRouteTables(inForce: RouteTable, next: RouteTable): readonly RouteDifference[] {
  return [
    ...diffEntry({ kind: 'limits' }, toFields(inForce.limits), toFields(next.limits)),
    ...diffNamed('route', inForce.routes, next.routes),
    ...diffNamed('service', [...inForce.services.values()], [...next.services.values()]),
    ...diffNamed('tenant', listTenants(inForce), listTenants(next)),
  ];
}

/** Lists tenants with their keys, of which a difference shows only the number. */
function listTenants({ tenants, tenantByKey }: RouteTable): readonly { readonly name: string }[] {
  return [...tenants.values()].map((tenant) => ({
    ...tenant,
    keys: [...tenantByKey].filter(([, name]) => name === tenant.name).map(([key]) => key),
  }));
}

function diffNamed(
  kind: 'route' | 'service' | 'tenant',
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): readonly RouteDifference[] {
  const beforeByName = new Map(before.map((each) => [each.name, each]));
  const afterByName = new Map(after.map((each) => [each.name, each]));
  const names = [...new Set([...beforeByName.keys(), ...afterByName.keys()])].toSorted();
  return names.flatMap((name) =>
    diffEntry({ kind, name }, toFields(beforeByName.get(name)), toFields(afterByName.get(name))),
  );
}

function diffEntry(
  subject: RouteSubject,
  before: Fields | undefined,
  after: Fields | undefined,
): readonly RouteDifference[] {
  if (before === undefined || after === undefined) {
    const isAdded = before === undefined;
    return [
      {
        subject,
        field: undefined,
        before: isAdded ? undefined : 'present',
        after: isAdded ? 'present' : undefined,
        loosens: isAdded,
      },
    ];
  }
  return Object.keys(before).flatMap((field): readonly RouteDifference[] => {
    const [left, right] = [before[field], after[field]];
    if (JSON.stringify(left) === JSON.stringify(right)) return [];
    const loosens = isLooser(field, left, right);
    return [{ subject, field, before: format(field, left), after: format(field, right), loosens }];
  });
}

function isLooser(field: string, before: unknown, after: unknown): boolean {
  switch (field) {
    case 'isPublic':
      return after === true;
    case 'ratePerSecond':
      // A rate of 0 is no limit.
      return after === 0 || (before !== 0 && Number(after) > Number(before));
    case 'homeRegions':
      return !isSubset(after as readonly string[], before as readonly string[]);
    case 'keys':
      return (after as readonly string[]).some((key) => !(before as readonly string[]).includes(key));
    default:
      return UPPER_LIMITS.has(field) && Number(after) > Number(before);
  }
}

/** Whether a list of regions permits no region beyond another one; an empty list permits any. */
function isSubset(regions: readonly string[], others: readonly string[]): boolean {
  if (others.length === 0) return true;
  return regions.length > 0 && regions.every((region) => others.includes(region));
}

/** Keys are secrets, so only their number is shown. */
function format(field: string, value: unknown): string {
  return field === 'keys' ? `${(value as readonly string[]).length} keys` : JSON.stringify(value);
}

function toFields(entry: object | undefined): Fields | undefined {
  return entry === undefined ? undefined : { ...entry };
}
