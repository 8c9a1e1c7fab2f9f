import { readFileSync, writeFileSync } from 'node:fs';
import t from 'tap';
import type { Test } from 'tap';
import { operatorCommands } from '#cli/OperatorCommands.js';
import { runCli } from '#cli/RunCli.js';
import { FakeAdminBackend } from '../../admin/test/FakeAdminBackend.js';
import { startAdmin } from '../../admin/test/StartAdmin.js';
import { FakeTerminal } from './FakeTerminal.js';

interface Result {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

async function run(args: readonly string[], env: Readonly<Record<string, string>> = {}): Promise<Result> {
  const terminal = new FakeTerminal(env);
  const code = await runCli(operatorCommands, ['node', 'amaranthrouter', ...args], '1.2.3', terminal);
  return { code, output: terminal.output, errors: terminal.errors };
}

interface Fleet {
  readonly url: string;
  readonly backend: FakeAdminBackend;
  readonly call: (...args: readonly string[]) => Promise<Result>;
}

async function startFleet(t: Pick<Test, 'teardown'>, as = 'operators'): Promise<Fleet> {
  const { url, backend } = await startAdmin(t);
  const env = { AMARANTHROUTER_ADMIN: url, AMARANTHROUTER_TOKEN: `token-${as}` };
  return { url, backend, call: (...args: readonly string[]) => run(args, env) };
}

t.test('check reports positions of faults', async (t) => {
  const dir = t.testdir({ 'c.jsonc': '{\n  "regions": [],\n  "entries": 1\n}', 's.jsonc': '{' });
  const result = await run(['check', `${dir}/c.jsonc`, `${dir}/s.jsonc`, 'examples/pamoja/settings.jsonc']);
  t.equal(result.code, 3);
  t.match(result.output, /c\.jsonc:3:14: entries: must be of type array/);
  t.match(result.output, /s\.jsonc:1:2: syntax error: close brace expected/);
  t.match(result.output, /settings\.jsonc: no faults \(settings\)/);
  t.match(await run(['check', 'examples/kanwa/catalogue.jsonc']), { code: 0 });
  t.match(await run(['check', `${dir}/none.jsonc`]), { code: 1, errors: /none\.jsonc cannot be read/ });
});

t.test('check lists all defaults', async (t) => {
  const { output } = await run(['check', '--defaults']);
  t.match(output, /settings +timings\.leaseMs +1500/);
  t.match(output, /settings +ports\.caller +0/);
  t.match(output, /catalogue +entries\[\]\.limits\.share +1/);
});

t.test('wrong usage is reported', async (t) => {
  t.match(await run([]), { code: 2, errors: /name a command/ });
  t.match(await run(['frobnicate']), { code: 2, errors: /no command "frobnicate"/ });
  t.match(await run(['check', '--frobnicate']), { code: 2, errors: /Unknown option/ });
  t.match(await run(['drain', 'vm']), { code: 2, errors: /missing required args/ });
  t.match(await run(['status']), { code: 2, errors: /--admin URL/ });
  t.match(await run(['status', '--admin', 'http://127.0.0.1:1']), { code: 2, errors: /--token-file/ });
  const { call } = await startFleet(t);
  t.match(await call('drain', 'rack', 'r1'), { code: 2, errors: /failure-domain, vm, server/ });
  t.match(await call('drain', 'vm', 'v', '--timeout', 'soon'), { code: 2, errors: /--timeout must be/ });
  t.match(await call('catalogue', 'drop'), { code: 2, errors: /get, put, diff, history, restore/ });
});

t.test('unreachable daemon or store is reported', async (t) => {
  const env = { AMARANTHROUTER_ADMIN: 'http://127.0.0.1:1', AMARANTHROUTER_TOKEN: 'x' };
  t.match(await run(['status'], env), { code: 5, errors: /127\.0\.0\.1:1 cannot be reached/ });
  const { call, backend } = await startFleet(t);
  backend.storeDown = true;
  t.match(await call('catalogue', 'get'), { code: 5, errors: /503 \(storeUnreachable, store 127/ });
  t.match(await call('catalogue', 'get', '--in-force'), { code: 0, output: /"regions"/ });
});

t.test('refused token is reported', async (t) => {
  const { call } = await startFleet(t, 'nobody');
  t.match(await call('status'), { code: 1, errors: /401/ });
  t.match(await call('status', '--json'), {
    code: 1,
    errors: /^\{"error":"notAuthenticated","step":"admin"/,
  });
});

t.test('token is read from a file', async (t) => {
  const { url } = await startFleet(t);
  const dir = t.testdir({ token: 'token-operators\n' });
  t.match(await run(['status', '--admin', url, '--token-file', `${dir}/token`]), { code: 0 });
});

t.test('put does not overwrite a newer change', async (t) => {
  const { call, backend } = await startFleet(t);
  const file = `${t.testdir({})}/c.jsonc`;
  t.match(await call('catalogue', 'get', file), { code: 0, errors: /version 7 by operators/ });
  writeFileSync(file, readFileSync(file, 'utf8').replace('"burst": 20', '"burst": 10'));
  t.match(await call('catalogue', 'diff', file), { code: 0, output: /limits\.burst: 20 -> 10/ });
  t.match(await call('catalogue', 'put', file), { code: 0, errors: /accepted as version 8/ });
  t.match(await call('catalogue', 'put', file), { code: 4, errors: /version 8 by "operators"/ });
  t.match(await call('catalogue', 'history'), { code: 0, output: /8 +operators/ });
  t.equal(backend.catalogues.length, 2);
});

t.test('put refuses a file without a version or with faults', async (t) => {
  const { call } = await startFleet(t);
  const text = JSON.stringify(FakeAdminBackend.makeCatalogue(20));
  const dir = t.testdir({ 'good.jsonc': text, 'bad.jsonc': text.replace('"burst":20', '"burst":0') });
  t.match(await call('catalogue', 'put', `${dir}/good.jsonc`), { code: 2, errors: /--base N/ });
  t.match(await call('catalogue', 'put', '--base', '7', `${dir}/good.jsonc`), { code: 0 });
  const bad = await call('catalogue', 'put', '--base', '7', `${dir}/bad.jsonc`);
  t.match(bad, { code: 3, errors: /bad\.jsonc:1:\d+: entries\[0\]\.limits\.burst: must be >= 1/ });
});

t.test('owner cannot change the entry of another team', async (t) => {
  const { call } = await startFleet(t, 'alpha');
  const text = JSON.stringify(FakeAdminBackend.makeCatalogue(10));
  const file = `${t.testdir({ 'c.jsonc': text })}/c.jsonc`;
  const result = await call('catalogue', 'put', '--base', '7', file);
  t.match(result, { code: 1, errors: /entry beta\/badges\/badgeCheck: belongs to "beta"/ });
});

t.test('restore makes a new version', async (t) => {
  const { call, backend } = await startFleet(t);
  t.match(await call('catalogue', 'restore', '7'), { code: 0, output: /no differences/ });
  t.match(await call('catalogue', 'restore', 'old'), { code: 2 });
  t.equal(backend.catalogues.at(-1)?.version, 8);
});

t.test('drain waits until nothing is in use', async (t) => {
  const { call, backend } = await startFleet(t);
  const result = await call('drain', 'failure-domain', 'nairobi-a');
  t.match(result, { code: 0, output: /out of service/, errors: /2 shards.*\n1 shards.*\n0 shards/ });
  t.match(backend.intent.intent.withdrawals, [{ kind: 'failureDomain', name: 'nairobi-a' }]);
  t.match(await call('return', 'failure-domain', 'nairobi-a'), { code: 0 });
  t.same(backend.intent.intent.withdrawals, []);
});

t.test('drain fails after its timeout', async (t) => {
  const { call, backend } = await startFleet(t);
  backend.shardsLeft = 100;
  t.match(await call('drain', 'vm', 'vm-1', '--timeout', '5'), { code: 1, errors: /not complete in time/ });
  t.match(await call('drain', 'vm', 'vm-1', '--no-wait'), { code: 0, output: /draining/ });
});

t.test('drain retries after conflicts', async (t) => {
  const { call, backend } = await startFleet(t);
  let conflicts = 2;
  backend.beforeWrite = () => {
    if (conflicts > 0) backend.intent = { ...backend.intent, version: backend.intent.version + 1 };
    conflicts -= 1;
  };
  t.match(await call('drain', 'vm', 'vm-1', '--no-wait'), { code: 0 });
  conflicts = 9;
  t.match(await call('drain', 'vm', 'vm-2', '--no-wait'), { code: 4 });
});

t.test('confirm-lost requires --destroyed', async (t) => {
  const { call, backend } = await startFleet(t);
  t.match(await call('confirm-lost', 'badges-1'), { code: 2, errors: /--destroyed/ });
  t.same(backend.intent.intent.confirmedLost, []);
  t.match(await call('confirm-lost', 'badges-1', '--destroyed'), { code: 0 });
  t.same(backend.intent.intent.confirmedLost, ['badges-1']);
});

t.test('keys keep leading zeros', async (t) => {
  const { call } = await startFleet(t);
  const request = ['alpha', 'badges', 'badgeCheck', '007'];
  t.match(await call('explain', ...request), { code: 0, output: /owner of "007"/ });
  t.match(await call('explain', ...request.slice(0, 3), '--json', '007'), { output: /\\"007\\"/ });
  t.match(await call('explain', 'alpha', 'badges', 'none'), { code: 1, output: /no entry applies/ });
});

t.test('output as tables and JSON', async (t) => {
  const { call } = await startFleet(t);
  t.match(await call('owners', 'badges', 'k', '--regions', 'kisumu'), {
    output: /kisumu +kisumu\/17 +badges-1/,
  });
  t.match(await call('status'), { output: /store +reachable/ });
  t.match(await call('stats'), { output: /alpha +badgeCheck +1 +0/ });
  t.match(await call('held'), { output: /held-alpha +alpha/ });
  t.match(await call('held', 'lift', 'held-alpha'), { code: 0 });
  t.match(await call('held', 'lift', 'held-alpha'), { code: 1, errors: /404/ });
  for (const args of [['owners', 'badges', 'k'], ['status'], ['stats'], ['held']]) {
    const { output } = await call(...args, '--json');
    t.doesNotThrow(() => JSON.parse(output) as unknown, args.join(' '));
  }
});
