// Builds target/amaranthrouter-platform.cjs: the program that runs beside each backend server on the users' platform.
import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

// Modules that stand in for libraries of which the daemon uses a small part. Their indexes also load the rest: undici its fetch,
// cache and mock modules, and hdr-histogram-js a log writer that reads the locale data. Together they take half of the
// processor time in which a daemon loads its code.
const LIBRARY_PARTS = {
  undici: `
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const sendRequest = require('undici/lib/api/api-request.js');
Dispatcher.prototype.request = sendRequest;
exports.Agent = require('undici/lib/dispatcher/agent.js');
exports.Client = require('undici/lib/dispatcher/client.js');
exports.request = (url, { dispatcher, ...options }) => {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({ ...options, origin, path: pathname + search });
};
`,
  'hdr-histogram-js': `
exports.build = require('hdr-histogram-js/dist/HistogramBuilder.js').build;
Object.assign(exports, require('hdr-histogram-js/dist/encoding.js'));
`,
};

const libraryParts = {
  name: 'library-parts',
  setup({ onResolve, onLoad }) {
    const filter = new RegExp(`^(${Object.keys(LIBRARY_PARTS).join('|')})$`);
    onResolve({ filter }, ({ path }) => ({ path, namespace: 'library-parts' }));
    onLoad({ filter, namespace: 'library-parts' }, ({ path }) => ({
      contents: LIBRARY_PARTS[path],
      resolveDir: process.cwd(),
    }));
  },
};

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
  plugins: [libraryParts],
  minifyWhitespace: true,
  minifySyntax: true,
  // Identifiers are not minified, as logs contain the names of classes, and the option that keeps such names sets the name of
  // each function when it is created, also of those that are created for each request.
  logLevel: 'warning',
});
