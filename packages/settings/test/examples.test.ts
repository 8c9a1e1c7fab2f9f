import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import t from 'tap';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import type { Deployment } from '#settings/Deployment.js';
import { parseDeployment } from '#settings/ParseDeployment.js';
import { parseSettings } from '#settings/ParseSettings.js';

const USERS = ['pamoja', 'kanwa'] as const;

const read = (user: string, name: string): string => readFileSync(`examples/${user}/${name}`, 'utf8');
const readCatalogue = (user: string): Catalogue =>
  parseCatalogue(read(user, 'catalogue.jsonc'), 'catalogue.jsonc').unsafeCoerce();
const readDeployment = (user: string): Deployment =>
  parseDeployment(read(user, 'deployment.jsonc'), 'deployment.jsonc').unsafeCoerce();

t.test('example files have no faults', (t) => {
  for (const user of USERS) {
    t.same(parseCatalogue(read(user, 'catalogue.jsonc'), 'c').swap().orDefault([]), []);
    t.same(parseDeployment(read(user, 'deployment.jsonc'), 'd').swap().orDefault([]), []);
    t.same(parseSettings(read(user, 'settings.jsonc'), 's').swap().orDefault([]), []);
  }
  t.end();
});

t.test('example deployments have the expected sizes', (t) => {
  for (const user of USERS) {
    const { regions, services } = readCatalogue(user);
    const { instances } = readDeployment(user);
    const perService = services.map(({ name }) => instances.filter(({ service }) => service === name).length);
    t.same(perService, [6, 6, 6]);
    t.equal(new Set(instances.map((instance) => instance.failureDomain)).size, 6);
    t.same([...new Set(instances.map((instance) => instance.region))], regions);
    t.equal(services.filter(({ keyed }) => keyed).length, 1);
  }
  t.end();
});

t.test('non-repeatable classes of the examples', (t) => {
  const nonRepeatable = USERS.flatMap((user) => readCatalogue(user).entries)
    .filter((entry) => !entry.repeatable)
    .map((entry) => entry.class);
  t.same([...new Set(nonRepeatable)].sort(), [
    'badgeIssue',
    'courierPickup',
    'levyPayment',
    'order',
    'stallRenewal',
  ]);
  t.end();
});

t.test('example tokens match their hashes', (t) => {
  for (const owner of USERS.flatMap((user) => readCatalogue(user).owners)) {
    const digest = createHash('sha256').update(`example-token-${owner.name}`).digest('hex');
    t.same(owner.tokenHashes, [digest]);
  }
  t.end();
});

t.test('deployment with a duplicate server id is refused', (t) => {
  const { instances } = readDeployment('kanwa');
  const text = JSON.stringify({ instances: [instances[0], instances[0]] });
  t.match(parseDeployment(text, 'd').swap().orDefault([]), [
    { path: 'instances[1].serverId', message: /used twice/ },
  ]);
  t.end();
});
