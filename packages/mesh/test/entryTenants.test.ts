import t from 'tap';
import type { Route } from '#routes/Route.js';
import { RouteIndex } from '#routes/RouteIndex.js';
import type { Tenant } from '#routes/Tenant.js';
import type { MeshView } from '#mesh/MeshView.js';
import { readCredential } from '#mesh/ReadCredential.js';
import { createRangeTable } from '#ranges/CreateRangeTable.js';
import { createEntry } from './CreateEntry.js';
import { createView } from './CreateView.js';
import { EntryRun } from './EntryRun.js';

const servers = [createEntry('a', { region: 'n' }), createEntry('b', { region: 's' })];
const free: Tenant = { name: 'free', priority: 3, ratePerSecond: 0, burst: 0, homeRegions: [] };
const limited: Tenant = { ...free, name: 'limited', priority: undefined, ratePerSecond: 5, burst: 5 };
const southern: Tenant = { ...free, name: 'southern', homeRegions: ['s'] };
const headers = [
  ['Host', 'a.example'],
  ['X-Auth', 'Bearer k-free'],
  ['x-tenant', 'forged'],
] as const;

function createTenantView(
  tenants: readonly Tenant[],
  route: Partial<Route> = {},
  ...rest: [] | [Parameters<typeof createView>[2]]
): MeshView {
  const view = createView(servers, { priority: 7, ...route }, ...rest);
  const table = view.routes!.table;
  return {
    ...view,
    routes: new RouteIndex({
      ...table,
      tenants: new Map(tenants.map((each) => [each.name, each])),
      tenantByKey: new Map(tenants.map(({ name }) => [`k-${name}`, name])),
    }),
  };
}

// Guards against a request that is forwarded without a known key.
t.test('request without a known key gets 401', async (t) => {
  const run = new EntryRun(createTenantView([free]));
  await run.arrive('1');
  await run.arrive('2', undefined, { credential: 'unknown' });
  await run.arrive('3', undefined, { credential: '' });
  t.equal(run.sent.length, 0);
  t.match(run.replies, Array(3).fill({ status: 401, code: 'unauthorized', retryAfterMs: 0 }));
  t.match(run.tenantMetrics.format(), 'amaranthrouter_unauthorized_total 3');
});

// Guards against a daemon that states that a key is unknown before it knows the configuration.
t.test('request gets 503 without a configuration', async (t) => {
  const run = new EntryRun();
  await run.arrive('1', undefined, { credential: 'k-free' });
  t.match(run.replies, [{ status: 503, code: 'noConfiguration' }]);
});

// Guards against keys that reach backend servers, and tenants that callers make up.
t.test('headers and priority are those of the tenant', async (t) => {
  const run = new EntryRun(createTenantView([free]));
  await run.arrive('1', undefined, { credential: 'k-free', headers });
  const [sent] = run.sent;
  t.same(sent?.request.callerRequest.headers, [
    ['Host', 'a.example'],
    ['X-Tenant', 'free'],
  ]);
  t.equal(sent?.request.priority, 3, 'takes precedence over the route');
});

t.test('public route needs no key', async (t) => {
  const run = new EntryRun(createTenantView([free], { isPublic: true }));
  await run.arrive('1', undefined, { credential: 'unknown', headers });
  await run.arrive('2', undefined, { credential: 'k-free', headers });
  t.same(run.sent[0]?.request.callerRequest.headers, [['Host', 'a.example']], 'without a tenant');
  t.equal(run.sent[0]?.request.priority, 7);
  t.same(run.sent[1]?.request.callerRequest.headers.at(-1), ['X-Tenant', 'free']);
});

// Guards against a change for deployments without tenants.
t.test('headers are unchanged without tenants', async (t) => {
  const run = new EntryRun(createTenantView([]));
  await run.arrive('1', undefined, { credential: 'k-free', headers });
  t.equal(run.sent[0]?.request.callerRequest.headers, headers);
  t.equal(run.questions.length, 0);
});

// Guards against a server outside the home regions of the tenant, also in a retry.
t.test('server is in the home regions of route and tenant', async (t) => {
  const run = new EntryRun(createTenantView([southern]));
  await run.arrive('1', undefined, { credential: 'k-southern' });
  t.equal(run.sent[0]?.server.serverId, 'b');
  await run.complete({ type: 'lost', code: 'connectionLost', load: undefined });
  t.equal(run.sent.length, 1, 'no retry in another region');
  const disjoint = new EntryRun(createTenantView([southern], { homeRegions: ['n'] }));
  await disjoint.arrive('1', undefined, { credential: 'k-southern' });
  t.equal(disjoint.sent.length, 0);
  t.match(disjoint.replies, [{ status: 503, code: 'noServer' }]);
});

t.test('owner is in the home regions of the tenant', async (t) => {
  for (const [owner, count] of [
    ['a', 0],
    ['b', 1],
  ] as const) {
    const table = createRangeTable('s', [{ serverId: owner, incarnation: 'i', term: 1 }]);
    const run = new EntryRun(createTenantView([southern], {}, table));
    await run.arrive('1', 5, { credential: 'k-southern' });
    t.equal(run.sent.length, count, owner);
  }
});

// Guards against a request that is sent before its quota is known, or that stays open after a refusal.
t.test('request above the rate limit gets 429', async (t) => {
  const run = new EntryRun(createTenantView([limited]));
  await run.arrive('1', undefined, { credential: 'k-limited' });
  t.equal(run.sent.length, 0, 'waits for the decision');
  run.questions[0]?.decide({ admitted: false, retryAfterMs: 199.5 });
  await run.settle();
  t.equal(run.sent.length, 0);
  t.match(run.replies, [{ status: 429, code: 'overQuota', retryAfterMs: 200 }]);
  t.equal(run.task.load, 0);
  await run.arrive('2', undefined, { credential: 'k-limited' });
  run.questions[1]?.decide({ admitted: true });
  await run.settle();
  t.equal(run.sent.length, 1);
  t.equal(run.sent[0]?.request.priority, 7, 'a tenant without a priority has that of the route');
  t.match(run.tenantMetrics.format(), 'amaranthrouter_tenant_over_quota_total{tenant="limited"} 1');
});

t.test('caller that left while the quota was awaited causes no request', async (t) => {
  const run = new EntryRun(createTenantView([limited]));
  const exchange = await run.arrive('1', undefined, { credential: 'k-limited' });
  run.task.post({ type: 'left', exchange });
  run.questions[0]?.decide({ admitted: true });
  await run.settle();
  t.equal(run.sent.length, 0);
  t.equal(run.task.load, 0);
});

// Guards against keys that are read from a header of another form.
t.test('credential', (t) => {
  const read = (...values: string[]): string | undefined =>
    readCredential(
      values.map((value) => ['x-AUTH', value]),
      'X-Auth',
    );
  t.equal(read(), undefined);
  t.equal(read('Bearer k'), 'k');
  t.equal(read('bearer  k '), 'k');
  for (const value of ['', 'Bearer', 'Bearer ', 'Basic k', 'Bearer k l', 'Bearer k, l', 'Bearerk'])
    t.equal(read(value), '', value);
  t.equal(read('Bearer k', 'Bearer k'), '', 'repeated');
  t.end();
});
