import t from 'tap';
import { formatFault } from '#catalogue/FormatFault.js';
import { defaultTimings } from '#settings/DefaultTimings.js';
import { isNumericAddress } from '#settings/IsNumericAddress.js';
import { parseSettings } from '#settings/ParseSettings.js';

const VALID = {
  serverId: 'badges-1',
  vm: 'vm-1',
  region: 'nairobi',
  failureDomain: 'nairobi-a',
  host: '10.0.0.1',
  storeUrl: 'http://10.0.0.9:7000',
  fleetKey: 'correct-horse-battery-staple-0123456789',
};

const parseFaults = (changes: object): string =>
  parseSettings(JSON.stringify({ ...VALID, ...changes }), 's.jsonc')
    .swap()
    .orDefault([])
    .map(formatFault)
    .join('\n');

t.test('missing values get defaults', (t) => {
  const text = `// one daemon\n${JSON.stringify({ ...VALID, timings: { leaseMs: 3000 } })}`;
  const settings = parseSettings(text, 's.jsonc').unsafeCoerce();
  t.same(settings.timings, { ...defaultTimings, leaseMs: 3000 });
  t.same(settings.ports, { caller: 0, peer: 0, udp: 0, admin: 0, backend: 0 });
  t.same([settings.seeds, settings.logs], [[], '']);
  t.end();
});

t.test('faults have line and column', (t) => {
  const text = '{\n  "serverId": "a b",\n  "unknown": 1\n}';
  const faults = parseSettings(text, 's.jsonc').swap().orDefault([]).map(formatFault);
  t.ok(faults.some((fault) => fault.startsWith('s.jsonc:2:15: serverId: must be a name of')));
  t.ok(faults.includes('s.jsonc:3:3: property "unknown" is not known'));
  t.ok(faults.includes('s.jsonc:1:1: property "vm" is missing'));
  t.end();
});

t.test('syntax errors have line and column', (t) => {
  t.match(parseSettings('{\n "vm": }', 's.jsonc').swap().orDefault([]), [{ line: 2, column: 8 }]);
  t.match(parseSettings('', 's.jsonc').swap().orDefault([]), [{ line: 1, column: 1 }]);
  t.end();
});

t.test('duplicate property is refused', (t) => {
  const text = JSON.stringify(VALID).replace('{', '{"vm":"vm-2",');
  t.match(parseSettings(text, 's.jsonc').swap().orDefault([]), [{ path: 'vm', message: /twice/ }]);
  t.end();
});

t.test('host names are refused', (t) => {
  t.match(parseFaults({ host: 'localhost' }), /host: must be a numeric IP address/);
  t.match(parseFaults({ host: '0.0.0.0' }), /host: must be an address at which peers/);
  t.match(parseFaults({ storeUrl: 'http://store:7000' }), /storeUrl: must name a numeric IP address/);
  t.match(parseFaults({ storeUrl: 'ftp://10.0.0.9' }), /storeUrl: must start with http/);
  t.match(parseFaults({ seeds: ['10.0.0.2:7101', 'vm-2:7101'] }), /seeds\[1\]: must be a numeric/);
  t.equal(parseFaults({ host: '::1', seeds: ['[fd00::2]:7101'], storeUrl: 'http://[fd00::9]:7000' }), '');
  t.end();
});

t.test('numeric addresses', (t) => {
  t.same(['10.0.0.1', '::', 'fe80::1', '::ffff:1.2.3.4'].map(isNumericAddress), [true, true, true, true]);
  t.same(['256.1.1.1', '1.2.3', '1.2.3.4.', ':::', 'a', '', '01.2.3.4'].filter(isNumericAddress), []);
  t.end();
});

t.test('renewals too infrequent for the lease', (t) => {
  t.match(parseFaults({ timings: { leaseMs: 1000 } }), /timings.renewEveryMs: must be at most a third/);
  t.match(parseFaults({ timings: { onceHorizonMs: 2000 } }), /timings.onceHorizonMs: must be at least twice/);
  t.end();
});

t.test('weak fleet key is refused', (t) => {
  t.match(parseFaults({ fleetKey: 'short' }), /fleetKey: must NOT have fewer than 32 characters/);
  t.match(parseFaults({ fleetKey: 'x'.repeat(40) }), /fleetKey: must have at least 8 distinct/);
  t.end();
});

t.test('two listeners on one port are refused', (t) => {
  t.match(parseFaults({ ports: { caller: 80, admin: 80 } }), /ports.admin: is the same as ports.caller/);
  t.equal(parseFaults({ ports: { peer: 80, udp: 80 } }), '');
  t.end();
});

t.test('TLS key without a certificate is refused', (t) => {
  t.match(parseFaults({ adminTls: { keyFile: 'k' } }), /adminTls: property "certFile" is missing/);
  t.end();
});
