import t from 'tap';
import type { Route } from '#routes/Route.js';
import { RouteIndex } from '#routes/RouteIndex.js';
import { SplitChooser } from '#routes/SplitChooser.js';

function route(name: string, pathPrefix: string, targets = [{ service: 's', weight: 1 }]): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix,
    idempotent: true,
    targets,
    timeoutMs: 1_000,
    targetLatencyMs: 200,
    maxAttempts: 2,
    priority: 0,
    homeRegions: [],
    isPublic: false,
  };
}

const index = new RouteIndex({
  version: 1,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  routes: [route('root', '/'), route('long', '/x/y/'), route('short', '/x/')],
  services: new Map(),
  tenants: new Map(),
  tenantByKey: new Map(),
});

t.test('longest prefix wins', (t) => {
  t.equal(index.find('a.example', '/x/y/z?q=/x/')?.name, 'long');
  t.equal(index.find('a.example', '/x/z')?.name, 'short');
  t.equal(index.find('a.example', '/x')?.name, 'root', 'a prefix ends with its slash');
  t.end();
});

t.test('host is compared without port and case', (t) => {
  t.equal(index.find('A.Example:80', '/x/')?.name, 'short');
  t.equal(index.find('b.example', '/x/'), undefined);
  t.end();
});

t.test('requests are split by weight', (t) => {
  const chooser = new SplitChooser();
  const split = route('split', '/', [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
  ]);
  const chosen = Array.from({ length: 50 }, () => chooser.choose(split));
  t.equal(chosen.filter((service) => service === 'b').length, 5, 'even over few requests');
  t.equal(chooser.choose(route('none', '/', [])), undefined);
  t.end();
});
