import t from 'tap';
import { operatorCommands } from '#cli/OperatorCommands.js';
import { runCli } from '#cli/RunCli.js';
import { FakeTerminal } from './FakeTerminal.js';

interface RuleOptions {
  readonly name: string;
  readonly host?: string;
  readonly prefix?: string;
  readonly service?: string;
  readonly weights?: readonly number[];
  readonly timeoutMs?: number;
  readonly targetMs?: number;
  readonly regions?: readonly string[];
  readonly isPublic?: boolean;
}

interface TenantOptions {
  readonly name: string;
  readonly keys?: readonly string[];
  readonly rate?: number;
  readonly burst?: number;
  readonly regions?: readonly string[];
}

function createRule({ name, prefix = `/${name}/`, service = 's', weights, ...rest }: RuleOptions): unknown {
  return {
    name,
    kind: 'safe',
    target_latency_ms: rest.targetMs ?? 300,
    public: rest.isPublic ?? false,
    match: { path_prefix: prefix },
    action: {
      ...(weights === undefined
        ? { service }
        : { traffic_split: weights.map((weight) => ({ service, weight })) }),
      timeout_ms: rest.timeoutMs ?? 1_000,
      max_attempts: 2,
      allowed_regions: rest.regions ?? [],
    },
  };
}

/** Creates a configuration with one listener for each rule. */
function createConfiguration(
  version: number,
  rules: readonly RuleOptions[],
  tenants: readonly TenantOptions[] = [],
): string {
  const configuration = {
    version,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    listeners: rules.map((rule) => ({ host: rule.host ?? 'a.example', rules: [createRule(rule)] })),
    clusters: [{ name: 's', max_connections: 10 }],
    tenants: tenants.map(({ name, keys, rate, burst, regions }) => ({
      name,
      api_keys: keys ?? [`key-of-${name}`],
      rate_per_s: rate ?? 10,
      burst: burst ?? 10,
      allowed_regions: regions ?? [],
    })),
  };
  return JSON.stringify(configuration, null, 1);
}

async function check(
  ...args: readonly string[]
): Promise<{ readonly code: number; readonly output: string }> {
  const terminal = new FakeTerminal({});
  const code = await runCli(
    operatorCommands,
    ['node', 'amaranthrouter', 'check', ...args],
    '1.2.3',
    terminal,
  );
  return { code, output: terminal.output };
}

t.test('sound configuration has no findings', async (t) => {
  const dir = t.testdir({ 'm.json': createConfiguration(1, [{ name: 'r' }], [{ name: 't' }]) });
  t.same(await check(`${dir}/m.json`), { code: 0, output: `${dir}/m.json: no faults (routes)\n` });
});

t.test('errors have positions', async (t) => {
  const dir = t.testdir({
    'syntax.json': '{ "listeners": [',
    'field.json': createConfiguration(1, [{ name: 'r' }]).replace(
      '"timeout_ms": 1000',
      '"timeout_ms": "soon"',
    ),
  });
  t.match(await check(`${dir}/syntax.json`), { code: 3, output: /syntax\.json:1:\d+: syntax error/ });
  t.match(await check(`${dir}/field.json`), { code: 3, output: /timeout_ms/ });
});

for (const [name, rules, tenants, expected] of [
  [
    'route that is replaced',
    [
      { name: 'a', prefix: '/x/' },
      { name: 'b', prefix: '/x/' },
    ],
    [],
    /listeners\[0\]\.rules\[0\]: never matches: route b/,
  ],
  ['host with a port', [{ name: 'a', host: 'a.example:80' }], [], /never matches: a host/],
  ['prefix without a slash', [{ name: 'a', prefix: '/x' }], [], /never matches: a path prefix/],
  ['unknown service', [{ name: 'a', service: 'other' }], [], /service other is not configured/],
  ['no weight', [{ name: 'a', weights: [0] }], [], /no target has a weight/],
  ['unknown region', [{ name: 'a', regions: ['mars'] }], [], /region mars does not exist/],
  [
    'unknown region of a tenant',
    [{ name: 'a' }],
    [{ name: 't', regions: ['mars'] }],
    /tenants\[0\]: region mars/,
  ],
] as const) {
  t.test(`${name} is an error`, async (t) => {
    const dir = t.testdir({ 'm.json': createConfiguration(1, rules, tenants) });
    t.match(await check('--regions', 'west,east', `${dir}/m.json`), { code: 3, output: expected });
  });
}

for (const [name, rules, tenants, expected] of [
  [
    'target above the timeout',
    [{ name: 'a', targetMs: 2_000 }],
    [],
    /target latency 2000 ms is above the timeout/,
  ],
  ['part without a weight', [{ name: 'a', weights: [1, 0] }], [], /gets no requests/],
  ['tenant without a key', [{ name: 'a' }], [{ name: 't', keys: [] }], /never matches: it has no key/],
  ['burst without a rate', [{ name: 'a' }], [{ name: 't', rate: 0 }], /burst has no effect/],
  ['rate without a burst', [{ name: 'a' }], [{ name: 't', burst: 0 }], /the burst is below 1/],
  [
    'regions in common with no tenant',
    [{ name: 'a', regions: ['west'] }],
    [{ name: 't', regions: ['east'] }],
    /no tenant may use it/,
  ],
  ['keys that are never needed', [{ name: 'a', isPublic: true }], [{ name: 't' }], /all routes are public/],
] as const) {
  t.test(`${name} is a warning`, async (t) => {
    const dir = t.testdir({ 'm.json': createConfiguration(1, rules, tenants) });
    const { code, output } = await check('--regions', 'west,east', `${dir}/m.json`);
    t.equal(code, 0);
    t.match(output, expected);
    t.match(output, /\(warning\)/);
  });
}

t.test('differences from the version in force are listed', async (t) => {
  const dir = t.testdir({
    'current.json': createConfiguration(
      1,
      [{ name: 'a' }, { name: 'old' }],
      [{ name: 't', regions: ['west'] }],
    ),
    'next.json': createConfiguration(
      2,
      [{ name: 'a', timeoutMs: 2_000 }, { name: 'new' }],
      [{ name: 't', rate: 5, keys: ['other-key'] }],
    ),
  });
  const { code, output } = await check('--current', `${dir}/current.json`, `${dir}/next.json`);
  t.equal(code, 0);
  t.match(output, /^~ route a timeoutMs: 1000 -> 2000 \(permits more\)$/m);
  t.match(output, /^\+ route new \(permits more\)$/m);
  t.match(output, /^- route old$/m);
  t.match(output, /^~ tenant t ratePerSecond: 10 -> 5$/m);
  t.match(output, /^~ tenant t homeRegions: \["west"\] -> \[\] \(permits more\)$/m);
  t.match(output, /^~ tenant t keys: 1 keys -> 1 keys \(permits more\)$/m);
  t.notMatch(output, /other-key/, 'keys are secrets');
});

t.test('version that is not above the one in force is an error', async (t) => {
  const text = createConfiguration(3, [{ name: 'a' }]);
  const dir = t.testdir({ 'current.json': text, 'next.json': text });
  const result = await check('--current', `${dir}/current.json`, `${dir}/next.json`);
  t.match(result, { code: 3, output: /version 3 is not above 3/ });
  t.match(result.output, /no differences/);
});

t.test('findings and differences are printed as JSON', async (t) => {
  const dir = t.testdir({ 'm.json': createConfiguration(1, [{ name: 'a', targetMs: 2_000 }]) });
  const { output } = await check('--json', `${dir}/m.json`);
  t.match(JSON.parse(output), { files: [{ kind: 'routes', faults: [], warnings: [{ line: Number }] }] });
});
