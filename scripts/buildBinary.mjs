// Builds dist/amaranthrouter: a CommonJS bundle that is injected as a single-executable blob into a copy of node.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { inject } from 'postject';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const { version } = JSON.parse(readFileSync('package.json', 'utf8'));

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: ['build/packages/cli/src/Main.js'],
  outfile: 'dist/amaranthrouter.cjs',
  bundle: true,
  platform: 'node',
  // esbuild cannot bundle the 'main' file of jsonc-parser; its 'module' file has the same code.
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  define: { AMARANTHROUTER_VERSION: JSON.stringify(version) },
});
const config = {
  main: 'dist/amaranthrouter.cjs',
  output: 'dist/amaranthrouter.blob',
  disableExperimentalSEAWarning: true,
};
writeFileSync('dist/sea.json', JSON.stringify(config));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
copyFileSync(process.execPath, 'dist/amaranthrouter.new');
chmodSync('dist/amaranthrouter.new', 0o755);
await inject('dist/amaranthrouter.new', 'NODE_SEA_BLOB', readFileSync('dist/amaranthrouter.blob'), {
  sentinelFuse: SENTINEL_FUSE,
});
execFileSync('mv', ['dist/amaranthrouter.new', 'dist/amaranthrouter']);
console.log('built dist/amaranthrouter');
