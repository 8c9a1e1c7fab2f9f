// Checks that each package imports only from packages before it in the order of docs/design.md, and that pure packages
// import no HTTP, RPC or store client.
import { readFileSync, readdirSync, existsSync } from 'node:fs';

const PACKAGE_ORDER = [
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
  'connection',
  'metrics',
  'store',
  'rpc',
  'control',
  'proxy',
  'admin',
  'daemon',
  'routes',
  'ranges',
  'tenants',
  'fanout',
  'overload',
  'placement',
  'hedging',
  'mesh',
  'platform',
  'standin',
  'load',
  'fixtures',
  'soak',
  'model',
  'cli',
];
const PURE_PACKAGES = [
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
  'tenants',
  'hedging',
  'placement',
  'overload',
];
// Source folders of the entries that are not in packages/.
const SOURCE_FOLDERS = { platform: 'platform/src', fixtures: 'platform/fixtures', soak: 'platform/soak' };
const CLIENT_IMPORT = /from '(node:(http|net|dgram|https|tls)|undici|json-rpc-2\.0)'/;

const faults = [];
for (const [rank, name] of PACKAGE_ORDER.entries()) {
  const dir = SOURCE_FOLDERS[name] ?? `packages/${name}/src`;
  if (!existsSync(dir)) continue;
  for (const file of readdirSync(dir)) {
    const text = readFileSync(`${dir}/${file}`, 'utf8');
    for (const match of text.matchAll(/from '#([a-z]+)\//g)) {
      const target = PACKAGE_ORDER.indexOf(match[1]);
      if (target < 0 || target > rank) faults.push(`${dir}/${file}: must not import from ${match[1]}`);
    }
    if (PURE_PACKAGES.includes(name) && CLIENT_IMPORT.test(text))
      faults.push(`${dir}/${file}: a pure package must not import a network client`);
  }
}
for (const fault of faults) console.error(fault);
process.exit(faults.length > 0 ? 1 : 0);
