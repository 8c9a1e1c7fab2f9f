// Builds target/amaranthrouter-platform.cjs: the program that runs beside each backend server on the users' platform.
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/src/Main.ts'],
  outfile: 'target/amaranthrouter-platform.cjs',
  bundle: true,
  platform: 'node',
  // Under this condition, the import map of package.json resolves to the TypeScript sources.
  conditions: ['source'],
  mainFields: ['module', 'main'],
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  logLevel: 'warning',
});
