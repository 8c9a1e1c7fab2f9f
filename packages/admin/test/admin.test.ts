import { readFileSync } from 'node:fs';
import { request } from 'node:http';
import { request as requestTls } from 'node:https';
import { Ajv } from 'ajv';
import t from 'tap';
import { adminRoutes } from '#admin/AdminRoutes.js';
import { AdminTask } from '#admin/AdminTask.js';
import { SystemClock } from '#core/SystemClock.js';
import openapi from '../schemas/openapi.json' with { type: 'json' };
import { FakeAdminBackend } from './FakeAdminBackend.js';
import { startAdmin } from './StartAdmin.js';

interface CallResult {
  readonly status: number;
  readonly etag: string | null;
  readonly body: Record<string, unknown>;
}

const CATALOGUE = '/admin/v1/catalogue';
const ENTRY = `${CATALOGUE}/entries/alpha/badges/badgeCheck`;

async function call(
  url: string,
  method: string,
  path: string,
  options: { readonly as?: string; readonly ifMatch?: string; readonly body?: unknown } = {},
): Promise<CallResult> {
  const { as = 'operators', ifMatch, body } = options;
  const headers = {
    authorization: `Bearer token-${as}`,
    ...(ifMatch === undefined ? {} : { 'if-match': ifMatch }),
  };
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  const res = await fetch(`${url}${path}`, {
    method,
    headers,
    ...(body === undefined ? {} : { body: text }),
  });
  const isJson = res.headers.get('content-type') === 'application/json';
  const parsed: unknown = isJson ? await res.json() : { text: await res.text() };
  return { status: res.status, etag: res.headers.get('etag'), body: parsed as CallResult['body'] };
}

const entryOf = (burst: number): object => {
  const { repeatable, evidence, homeRegions, limits } = FakeAdminBackend.makeCatalogue(burst).entries[0]!;
  return { repeatable, evidence, homeRegions, limits };
};

t.test('every route is in the OpenAPI file', (t) => {
  const described = Object.entries(openapi.paths).flatMap(([path, operations]) =>
    Object.entries(operations).map(([method, operation]) => {
      const {
        operationId,
        parameters = [],
        description = '',
      } = operation as unknown as {
        readonly operationId: string;
        readonly parameters?: readonly { readonly name: string; readonly in: string }[];
        readonly description?: string;
      };
      const query = parameters.filter((each) => each.in === 'query').map((each) => each.name);
      const inPath = parameters.filter((each) => each.in === 'path').map((each) => each.name);
      t.same(inPath, path.match(/[^{}]+(?=\})/g) ?? [], path);
      const access = description === 'Operators only.' ? 'operator' : 'owner';
      return { method: method.toUpperCase(), path, operation: operationId, access, query: query.sort() };
    }),
  );
  const byName = (left: { operation: string }, right: { operation: string }): number =>
    left.operation.localeCompare(right.operation);
  const routes = adminRoutes.map(({ method, path, operation, access, query }) => ({
    method,
    path,
    operation,
    access,
    query: [...query].sort(),
  }));
  t.same(described.sort(byName), routes.sort(byName));
  t.end();
});

t.test('responses match their schemas', async (t) => {
  const { url } = await startAdmin(t);
  const ajv = new Ajv({ strict: false }).addSchema(openapi, 'api');
  const check = (schema: string, result: CallResult): void => {
    t.equal(result.status, 200, schema);
    const valid = ajv.validate(`api#/components/schemas/${schema}`, result.body);
    t.ok(valid, `${schema}: ${ajv.errorsText()}`);
  };
  const description = { team: 'alpha', service: 'badges', class: 'badgeCheck', key: 'k' };
  check('VersionedCatalogue', await call(url, 'GET', CATALOGUE));
  check('HistoryPage', await call(url, 'GET', `${CATALOGUE}/history`));
  check('VersionedCatalogue', await call(url, 'GET', `${CATALOGUE}/history/7`));
  check('Propagation', await call(url, 'GET', '/admin/v1/propagation'));
  check('MemberPage', await call(url, 'GET', '/admin/v1/members'));
  check('HotKeyPage', await call(url, 'GET', '/admin/v1/hot-keys'));
  check('MovePage', await call(url, 'GET', '/admin/v1/moves'));
  check('HeldPage', await call(url, 'GET', '/admin/v1/held'));
  check('Owners', await call(url, 'GET', '/admin/v1/owners?service=badges&key=k&regions=kisumu'));
  check('Status', await call(url, 'GET', '/admin/v1/status'));
  check('Stats', await call(url, 'GET', '/admin/v1/stats?scope=fleet'));
  check('Explanation', await call(url, 'POST', '/admin/v1/explain', { body: description }));
  check('DrainProgress', await call(url, 'GET', '/admin/v1/withdrawals/vm/vm-1'));
  check('ChangeResult', await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: entryOf(30) }));
  check('Intent', await call(url, 'PUT', '/admin/v1/withdrawals/vm/vm-1', { ifMatch: '"3"' }));
  check('Intent', await call(url, 'PUT', '/admin/v1/confirmed-lost/badges-1', { ifMatch: '"4"' }));
  check('Lifted', await call(url, 'DELETE', '/admin/v1/held/held-alpha'));
});

t.test('callers without a valid token are refused', async (t) => {
  const { url } = await startAdmin(t);
  t.match(await call(url, 'GET', CATALOGUE, { as: 'nobody' }), { status: 401 });
  for (const authorization of ['', 'Basic abc', 'Bearer ', 'Bearer first-key']) {
    const res = await fetch(`${url}${CATALOGUE}`, { headers: { authorization } });
    t.equal(res.status, 401, authorization);
    t.equal(res.headers.get('www-authenticate'), 'Bearer');
  }
});

t.test('fleet key is valid only for the first catalogue', async (t) => {
  const backend = new FakeAdminBackend();
  backend.catalogues = [];
  const { url } = await startAdmin(t, backend);
  const put = (): Promise<Response> =>
    fetch(`${url}${CATALOGUE}`, {
      method: 'PUT',
      headers: { authorization: 'Bearer first-key', 'if-match': '"0"' },
      body: JSON.stringify(FakeAdminBackend.makeCatalogue(20)),
    });
  t.equal((await put()).status, 200);
  t.equal((await put()).status, 401);
});

t.test('owner cannot act as an operator', async (t) => {
  const { url, backend } = await startAdmin(t);
  const options = { as: 'alpha', ifMatch: '"3"' };
  t.match(await call(url, 'PUT', '/admin/v1/withdrawals/vm/vm-1', options), { status: 403 });
  t.match(await call(url, 'PUT', '/admin/v1/confirmed-lost/s', options), { status: 403 });
  t.match(await call(url, 'GET', '/metrics', { as: 'alpha' }), { status: 403 });
  t.same(backend.intent.intent, { withdrawals: [], confirmedLost: [] });
});

t.test('owner cannot change the entry of another team', async (t) => {
  const { url, backend } = await startAdmin(t);
  const result = await call(url, 'PUT', ENTRY, { as: 'beta', ifMatch: '"7"', body: entryOf(10) });
  t.match(result, { status: 403, body: { refused: [{ part: 'entry alpha/badges/badgeCheck' }] } });
  t.equal(backend.catalogues.length, 1);
});

t.test('owner cannot read the traffic of another team', async (t) => {
  const { url } = await startAdmin(t);
  const held = await call(url, 'GET', '/admin/v1/held', { as: 'alpha' });
  t.match(held.body, { items: [{ team: 'alpha' }] });
  t.equal((held.body.items as unknown[]).length, 1);
  const stats = await call(url, 'GET', '/admin/v1/stats', { as: 'alpha' });
  t.same(
    (stats.body.series as { team: string }[]).map((each) => each.team),
    ['alpha'],
  );
  t.match(await call(url, 'DELETE', '/admin/v1/held/held-beta', { as: 'alpha' }), { status: 404 });
  const body = { team: 'beta', service: 'badges', class: 'badgeCheck' };
  t.match(await call(url, 'POST', '/admin/v1/explain', { as: 'alpha', body }), { status: 403 });
});

t.test('change without a version is refused', async (t) => {
  const { url } = await startAdmin(t);
  t.match(await call(url, 'PUT', ENTRY, { as: 'alpha', body: entryOf(30) }), { status: 428 });
  t.match(await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '*', body: entryOf(30) }), { status: 400 });
  t.match(await call(url, 'PUT', '/admin/v1/withdrawals/vm/v'), { status: 428 });
});

t.test('one of two concurrent changes is accepted', async (t) => {
  const { url, backend } = await startAdmin(t);
  backend.beforeWrite = () => {
    const { catalogue } = backend.catalogues[0]!;
    backend.catalogues = [...backend.catalogues, { version: 8, author: 'beta', catalogue }];
  };
  const late = await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: entryOf(30) });
  t.match(late, { status: 412, etag: '"8"', body: { error: 'conflict', version: 8, author: 'beta' } });
  const stale = await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: entryOf(30) });
  t.match(stale, { status: 412, body: { version: 8, author: 'beta' } });
});

t.test('withdrawals are conditional on the version', async (t) => {
  const { url, backend } = await startAdmin(t);
  const path = '/admin/v1/withdrawals/failureDomain/nairobi-a';
  t.match(await call(url, 'PUT', path, { ifMatch: '"2"' }), { status: 412, body: { version: 3 } });
  t.match(await call(url, 'PUT', path, { ifMatch: '"3"' }), { status: 200, etag: '"4"' });
  t.match(await call(url, 'PUT', path, { ifMatch: '"4"' }), { status: 200 });
  t.equal(backend.intent.intent.withdrawals.length, 1);
  t.match(await call(url, 'DELETE', path, { ifMatch: '"5"' }), { status: 200 });
  t.match(await call(url, 'DELETE', path, { ifMatch: '"6"' }), { status: 404 });
  t.match(await call(url, 'PUT', '/admin/v1/withdrawals/rack/r', { ifMatch: '"6"' }), { status: 400 });
});

t.test('dry run changes nothing', async (t) => {
  const { url, backend } = await startAdmin(t);
  const body = FakeAdminBackend.makeCatalogue(10);
  const result = await call(url, 'POST', `${CATALOGUE}?dryRun=true`, { body });
  t.match(result, { status: 200, body: { version: 7, changes: [{ kind: 'changed' }, { kind: 'changed' }] } });
  t.match(await call(url, 'POST', CATALOGUE, { body }), { status: 400 });
  t.match(await call(url, 'PUT', `${CATALOGUE}?dryRun=yes`, { body }), { status: 400 });
  t.equal(backend.catalogues.length, 1);
});

t.test('catalogue with faults is refused', async (t) => {
  const { url } = await startAdmin(t);
  const result = await call(url, 'PUT', CATALOGUE, { ifMatch: '"7"', body: '{\n "regions": [],\n' });
  t.match(result, { status: 422, body: { faults: [{ line: 3, message: /syntax error/ }] } });
  const entry = await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: { limits: {} } });
  t.match(entry, { status: 422, body: { faults: [{ path: 'entries[0]' }] } });
  t.match(await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: '[]' }), { status: 400 });
});

t.test('restored catalogue becomes a new version', async (t) => {
  const { url, backend } = await startAdmin(t);
  await call(url, 'PUT', CATALOGUE, { ifMatch: '"7"', body: FakeAdminBackend.makeCatalogue(10) });
  const path = `${CATALOGUE}/history/7/restore`;
  t.match(await call(url, 'POST', path, { ifMatch: '"8"' }), { status: 403 });
  const entry = await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"8"', body: entryOf(20) });
  t.match(entry, { status: 200, body: { version: 9 } });
  const restored = await call(url, 'POST', `${CATALOGUE}/history/8/restore`, { ifMatch: '"9"' });
  t.match(restored, { status: 200, body: { version: 10, changes: [{ kind: 'changed' }] } });
  t.same(
    backend.catalogues.map((each) => each.version),
    [7, 8, 9, 10],
  );
  t.match(await call(url, 'POST', `${CATALOGUE}/history/1/restore`, { ifMatch: '"10"' }), { status: 404 });
});

t.test('store outage is reported', async (t) => {
  const { url, backend } = await startAdmin(t);
  backend.storeDown = true;
  const refused = { status: 503, body: { step: 'store', peer: '127.0.0.1:7000' } };
  t.match(await call(url, 'PUT', ENTRY, { as: 'alpha', ifMatch: '"7"', body: entryOf(10) }), refused);
  t.match(await call(url, 'GET', `${CATALOGUE}?inForce=true`), { status: 200 });
  t.match(await call(url, 'GET', '/admin/v1/status'), { body: { store: { reachable: false } } });
});

t.test('bodies above the limit are refused', async (t) => {
  const { url } = await startAdmin(t);
  const body = 'x'.repeat(1_000_001);
  t.match(await call(url, 'PUT', CATALOGUE, { ifMatch: '"7"', body }), { status: 413 });
  const status = await new Promise((resolve, reject) => {
    const headers = { authorization: 'Bearer token-operators', 'transfer-encoding': 'chunked' };
    const req = request(`${url}${CATALOGUE}`, { method: 'PUT', headers }, (res) => {
      resolve(res.statusCode);
      req.destroy();
    });
    req.on('error', reject);
    for (let sent = 0; sent <= 1_000_000; sent += 10_000) req.write(body.slice(0, 10_000));
  });
  t.equal(status, 413);
});

t.test('lists are paginated', async (t) => {
  const { url } = await startAdmin(t);
  const first = await call(url, 'GET', '/admin/v1/members?limit=1');
  t.match(first.body, { items: [{ serverId: 'badges-1' }], next: '1' });
  const second = await call(url, 'GET', '/admin/v1/members?limit=1&after=1');
  t.match(second.body, { items: [{ serverId: 'badges-2' }], next: '' });
  for (const limit of ['0', '501', 'x'])
    t.match(await call(url, 'GET', `/admin/v1/members?limit=${limit}`), { status: 400 });
});

t.test('requests that match no route are refused', async (t) => {
  const { url } = await startAdmin(t);
  t.match(await call(url, 'GET', '/admin/v2/catalogue'), { status: 404 });
  t.match(await call(url, 'DELETE', CATALOGUE), { status: 405, body: { message: /GET, PUT, POST/ } });
  t.match(await call(url, 'GET', '/admin/v1/status?x=1'), { status: 400 });
  t.match(await call(url, 'GET', '/admin/v1/held/%zz'), { status: 404 });
  t.match(await call(url, 'GET', '/admin/v1/owners?service=badges'), { status: 400 });
});

t.test('Prometheus metrics can be scraped', async (t) => {
  const { url } = await startAdmin(t);
  const result = await call(url, 'GET', '/metrics');
  t.match(result.body.text, /amaranthrouter_requests_total\{team="alpha",class="badgeCheck"/);
});

t.test('port in use is reported', async (t) => {
  const { url } = await startAdmin(t);
  const options = { host: '127.0.0.1', port: Number(new URL(url).port), fleetKey: 'k' };
  const task = new AdminTask(new FakeAdminBackend(), options, new SystemClock());
  t.teardown(() => task.stop());
  const result = await task.start();
  t.match(result.swap().unsafeCoerce(), {
    message: /cannot listen: .*EADDRINUSE/,
    fields: { step: 'admin' },
  });
});

t.test('missing TLS files are reported', async (t) => {
  const tls = { keyFile: '/nonexistent/key', certFile: '/nonexistent/cert' };
  const options = { host: '127.0.0.1', port: 0, fleetKey: 'k', tls };
  const task = new AdminTask(new FakeAdminBackend(), options, new SystemClock());
  t.match((await task.start()).swap().unsafeCoerce(), { message: /cannot listen: ENOENT/ });
});

t.test('TLS listener refuses plain HTTP', async (t) => {
  const tls = { keyFile: 'packages/admin/test/tls-key.pem', certFile: 'packages/admin/test/tls-cert.pem' };
  const options = { host: '127.0.0.1', port: 0, fleetKey: 'k', tls };
  const task = new AdminTask(new FakeAdminBackend(), options, new SystemClock());
  t.teardown(() => task.stop());
  const port = (await task.start()).unsafeCoerce();
  const headers = { authorization: 'Bearer token-alpha' };
  const status = await new Promise((resolve, reject) => {
    const target = { host: '127.0.0.1', port, path: '/admin/v1/status', headers };
    requestTls({ ...target, ca: readFileSync(tls.certFile) }, (res) => {
      res.resume();
      resolve(res.statusCode);
    })
      .on('error', reject)
      .end();
  });
  t.equal(status, 200);
  await t.rejects(fetch(`http://127.0.0.1:${port}/admin/v1/status`, { headers }));
});

t.test('stop before the port is open is reported', async (t) => {
  const options = { host: '127.0.0.1', port: 0, fleetKey: 'k' };
  const task = new AdminTask(new FakeAdminBackend(), options, new SystemClock());
  const started = task.start();
  await Promise.resolve();
  task.stop();
  t.match((await started).swap().unsafeCoerce(), { message: /stopped/ });
});
