// Runs every compiled test file with tap, or only those whose path contains an argument.
// Tests named by an entry "- test: FILE 'TITLE'" of KNOWN-RED.txt are run by hand only; the entries are printed.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';

const KNOWN_TEST = /^- test: (\S+)\.test\.ts '(.+)'$/gm;

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
const titlesByFile = new Map();
for (const [, path, title] of knownRed.matchAll(KNOWN_TEST)) {
  const file = `build/${path}.test.js`;
  titlesByFile.set(file, [...(titlesByFile.get(file) ?? []), title]);
}

// tap generates its test class for the plugins in .taprc, but the run that generates it still uses the old plugins.
// The class is therefore generated beforehand, and only once, because another run may be reading it.
const stamp = 'node_modules/.tap-class-built';
if (!existsSync(stamp)) {
  spawnSync('node_modules/.bin/tap', ['build'], { stdio: 'ignore' });
  writeFileSync(stamp, '');
}

const fullFiles = selected.filter((file) => !titlesByFile.has(file));
const filteredFiles = selected.filter((file) => titlesByFile.has(file));
const statuses = [
  ...(fullFiles.length > 0 ? [runTap(fullFiles, [])] : []),
  ...filteredFiles.map((file) =>
    runTap([file], ['--invert', `--grep=/^(${titlesByFile.get(file).map(escape).join('|')})$/`]),
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
