import t from 'tap';
import type { Route } from '#routes/Route.js';
import type { Tenant } from '#routes/Tenant.js';
import { authorize } from '#tenants/Authorize.js';
import { bindRoute } from '#tenants/BindRoute.js';
import { HolderHistory } from '#tenants/HolderHistory.js';
import { TenantMetrics } from '#tenants/TenantMetrics.js';

const a: Tenant = { name: 'a', priority: 1, ratePerSecond: 0, burst: 0, homeRegions: [] };
const table = { tenants: new Map([['a', a]]), tenantByKey: new Map([['key', 'a']]) };
const none = { tenants: new Map<string, Tenant>(), tenantByKey: new Map<string, string>() };
const closed = { isPublic: false };
const open = { isPublic: true };

const route: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  idempotent: true,
  targets: [],
  timeoutMs: 1_000,
  targetLatencyMs: 300,
  maxAttempts: 1,
  priority: 5,
  homeRegions: [],
  isPublic: false,
};

// Guards against requests that pass without a known key, and against keys that are demanded without tenants.
t.test('authorization', (t) => {
  t.same(authorize({ credential: 'key' }, closed, table), { type: 'authorized', tenant: a });
  for (const credential of [undefined, '', 'other', 'constructor'])
    t.same(authorize({ credential }, closed, table), { type: 'unauthorized' }, String(credential));
  t.same(authorize({ credential: undefined }, open, table), { type: 'authorized', tenant: undefined });
  t.same(authorize({ credential: 'other' }, open, table), { type: 'authorized', tenant: undefined });
  t.same(authorize({ credential: 'key' }, open, table), { type: 'authorized', tenant: a });
  t.same(authorize({ credential: undefined }, closed, none), { type: 'authorized', tenant: undefined });
  t.end();
});

// Guards against a request that leaves its home regions if the lists of route and tenant have none in common.
t.test('priority and home regions of a tenant', (t) => {
  t.match(bindRoute(route, a), { priority: 1, homeRegions: [] });
  t.equal(bindRoute(route, { ...a, priority: undefined })?.priority, 5);
  const north = { ...route, homeRegions: ['n', 'e'] };
  t.same(bindRoute(north, a)?.homeRegions, ['n', 'e']);
  t.same(bindRoute(route, { ...a, homeRegions: ['s'] })?.homeRegions, ['s']);
  t.same(bindRoute(north, { ...a, homeRegions: ['s', 'e'] })?.homeRegions, ['e']);
  t.equal(bindRoute(north, { ...a, homeRegions: ['s'] }), undefined);
  t.end();
});

// Guards against metrics whose size grows with the number of tenants, and against counts that are lost with a tenant.
t.test('metrics name at most 32 tenants', (t) => {
  const metrics = new TenantMetrics();
  t.equal(metrics.format(), '', 'nothing without tenants');
  const names = Array.from({ length: 40 }, (_, index) => `t${index}`);
  for (const name of names) metrics.countEnd(name, 'delivered', 10);
  metrics.countEnd('other', 'delivered', 10);
  metrics.countOverQuota('t1');
  const count = (text: string): number => text.match(/^amaranthrouter_tenant_requests_total/gm)?.length ?? 0;
  t.equal(count(metrics.format()), 33);
  t.match(metrics.format(), 'amaranthrouter_tenant_requests_total{tenant="other",outcome="delivered"} 9');
  t.match(metrics.format(), 'amaranthrouter_tenant_over_quota_total{tenant="t1"} 1');
  metrics.retain(new Map([['t1', a]]));
  t.equal(count(metrics.format()), 2);
  t.match(metrics.format(), 'amaranthrouter_tenant_requests_total{tenant="other",outcome="delivered"} 40');
  t.end();
});

// Guards against a term as the holder that seems to last through a loss of the quota.
t.test('start of the term as the holder', (t) => {
  const history = new HolderHistory();
  t.equal(history.findHolder('a'), undefined);
  t.equal(history.note(['x', 'y'], 0), true);
  t.equal(history.note(['y', 'x'], 5), false, 'the same daemons');
  const holder = history.findHolder('a') ?? '';
  const other = holder === 'x' ? 'y' : 'x';
  t.equal(history.heldSinceMs(holder, 'a'), 0);
  t.equal(history.heldSinceMs(other, 'a'), undefined);
  history.note([other], 10);
  t.equal(history.heldSinceMs(other, 'a'), 10);
  t.equal(history.listRivals(other, 'a', 3_000, 20), undefined, 'the former holder has left the view');
  history.note(['x', 'y'], 20);
  t.equal(history.heldSinceMs(holder, 'a'), 20);
  t.same(history.listRivals(holder, 'a', 3_000, 25), [other]);
  t.end();
});
