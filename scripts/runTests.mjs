// Runs every compiled test file with tap, or only those whose path contains an argument.
// Tests that an entry "- test: FILE 'TITLE'" of KNOWN-RED.txt names are run by hand only; the entries are printed.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';

const KNOWN_RED = /^- test: (\S+)\.test\.ts '(.+)'$/gm;

const filters = process.argv.slice(2);
const roots = [...readdirSync('packages').map((name) => `packages/${name}`), 'platform'];
const files = roots.flatMap((root) => {
  const dir = `${root}/test`;
  if (!existsSync(dir)) return [];
  return readdirSync(dir)
    .filter((file) => file.endsWith('.test.ts'))
    .map((file) => `build/${dir}/${file.replace(/\.ts$/, '.js')}`);
});
const selected = files.filter((file) => filters.length === 0 || filters.some((text) => file.includes(text)));

const knownRed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
if (knownRed.trim()) console.log(`Known failures:\n${knownRed}`);
const titles = new Map();
for (const [, path, title] of knownRed.matchAll(KNOWN_RED)) {
  const file = `build/${path}.test.js`;
  titles.set(file, [...(titles.get(file) ?? []), title]);
}

// tap generates its test class for the plugins in .taprc; a run that does so itself still uses the old plugins.
// It is generated once, as another run may be reading it.
const stamp = 'node_modules/.tap-class-built';
if (!existsSync(stamp)) {
  spawnSync('node_modules/.bin/tap', ['build'], { stdio: 'ignore' });
  writeFileSync(stamp, '');
}

const whole = selected.filter((file) => !titles.has(file));
const partial = selected.filter((file) => titles.has(file));
const statuses = [
  ...(whole.length > 0 ? [runTap(whole, [])] : []),
  ...partial.map((file) =>
    runTap([file], ['--invert', `--grep=/^(${titles.get(file).map(escape).join('|')})$/`]),
  ),
];
process.exit(Math.max(0, ...statuses));

function runTap(paths, options) {
  const args = [
    'run',
    '--disable-coverage',
    '--allow-empty-coverage',
    '--jobs=3',
    '--timeout=120',
    '--reporter=terse',
    ...options,
    ...paths,
  ];
  return spawnSync('node_modules/.bin/tap', args, { stdio: 'inherit' }).status ?? 1;
}

function escape(title) {
  return title.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}
