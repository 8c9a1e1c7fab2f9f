// Runs every compiled test file with tap, or only those whose path contains an argument.
// A file listed in KNOWN-RED.txt is run by hand only; its entry is printed instead.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';

const filters = process.argv.slice(2);
const roots = [...readdirSync('packages').map((name) => `packages/${name}`), 'platform'];
const files = roots.flatMap((root) => {
  const dir = `${root}/test`;
  if (!existsSync(dir)) return [];
  return readdirSync(dir)
    .filter((file) => file.endsWith('.test.ts'))
    .map((file) => `build/${dir}/${file.replace(/\.ts$/, '.js')}`);
});
const knownRed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
if (knownRed.trim()) console.log(`Known failures that are not run:\n${knownRed}`);
const selected = files
  .filter((file) => !knownRed.includes(file.replace(/^build\//, '').replace(/\.js$/, '.ts')))
  .filter((file) => filters.length === 0 || filters.some((text) => file.includes(text)));
const args = [
  'run',
  '--disable-coverage',
  '--allow-empty-coverage',
  '--jobs=3',
  '--timeout=120',
  '--reporter=terse',
  ...selected,
];
// tap generates its test class for the plugins in .taprc; a run that does so itself still uses the old plugins.
// It is generated once, as another run may be reading it.
const stamp = 'node_modules/.tap-class-built';
if (!existsSync(stamp)) {
  spawnSync('node_modules/.bin/tap', ['build'], { stdio: 'ignore' });
  writeFileSync(stamp, '');
}
const result = spawnSync('node_modules/.bin/tap', args, { stdio: 'inherit' });
process.exit(result.status ?? 1);
