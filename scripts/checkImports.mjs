// Checks that a package imports only from the packages before it in the order that docs/design.md gives, and that
// the pure packages import no HTTP, RPC or store client.
import { readFileSync, readdirSync, existsSync } from 'node:fs';

const ORDER = [
  'core',
  'codec',
  'chart',
  'catalogue',
  'settings',
  'lease',
  'assignment',
  'admission',
  'balance',
  'once',
  'delivery',
  'metrics',
  'store',
  'rpc',
  'control',
  'proxy',
  'admin',
  'daemon',
  'routes',
  'ranges',
  'mesh',
  'platform',
  'standin',
  'load',
  'fixtures',
  'soak',
  'model',
  'cli',
];
const PURE = [
  'codec',
  'chart',
  'lease',
  'assignment',
  'admission',
  'balance',
  'once',
  'delivery',
  'catalogue',
  'settings',
  'routes',
  'ranges',
];
// Folders of the entries that are no package.
const DIRS = { platform: 'platform/src', fixtures: 'platform/fixtures', soak: 'platform/soak' };
const NETWORK = /from '(node:(http|net|dgram|https|tls)|undici|json-rpc-2\.0)'/;

const faults = [];
for (const [rank, name] of ORDER.entries()) {
  const dir = DIRS[name] ?? `packages/${name}/src`;
  if (!existsSync(dir)) continue;
  for (const file of readdirSync(dir)) {
    const text = readFileSync(`${dir}/${file}`, 'utf8');
    for (const match of text.matchAll(/from '#([a-z]+)\//g)) {
      const target = ORDER.indexOf(match[1]);
      if (target < 0 || target > rank) faults.push(`${dir}/${file}: must not import from ${match[1]}`);
    }
    if (PURE.includes(name) && NETWORK.test(text))
      faults.push(`${dir}/${file}: a pure package imports a client`);
  }
}
for (const fault of faults) console.error(fault);
process.exit(faults.length > 0 ? 1 : 0);
