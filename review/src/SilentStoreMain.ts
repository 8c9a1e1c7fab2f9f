import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { waitUntil } from '#fixtures/WaitUntil.js';
import { selectEvents } from '#soak/SelectEvents.js';
import type { SoakEnvironment } from '#soak/SoakEnvironment.js';
import type { CaseContext } from './CaseContext.js';
import { runCase } from './RunCase.js';

const PLAIN: RequestClass = { prefix: '/plain/', keyed: false, idempotent: true };
const DROPPED: RequestClass = { prefix: '/dropped/', keyed: false, idempotent: true };
const ADDED: RequestClass = { prefix: '/added/', keyed: false, idempotent: true };

/** Bounds of the rules for a small deployment: `stability_window_ms` and `config_apply_ms`. */
const STABILITY_WINDOW_MS = 3_000;
const CONFIG_APPLY_MS = 2_500;

/** Added to the stability window, so that daemons are in touch beyond doubt. */
const TOUCH_MARGIN_MS = 1_000;

/** Pause between the first change and the moment at which open channels go silent. */
const SILENCE_DELAY_MS = 1_000;

/** How long clients send requests after the second change was acknowledged. */
const OBSERVED_MS = 8_000;

const REQUEST_INTERVAL_MS = 250;

const START_TIMEOUT_MS = 20_000;

const OK = 200;
const NOT_FOUND = 404;

type Send = (
  daemon: number,
  { prefix }: RequestClass,
) => Promise<{ readonly id: string; readonly status: number }>;

function createSend({ environment, record }: CaseContext): Send {
  const connections = environment.endpoints.map(({ callers }) => new CallerConnection(callers));
  let count = 0;
  return async (daemon, { prefix }) => {
    count += 1;
    const id = `request-${count}`;
    const headers = { host: 'soak.example', 'x-request-id': id, 'x-deadline-ms': '1200' };
    record(`sent ${id} GET ${prefix}${count} to daemon ${daemon}`);
    const response = await connections[daemon]?.send({
      method: 'GET',
      path: `${prefix}${count}`,
      headers,
      body: Buffer.alloc(0),
    });
    const status = response?.status ?? 0;
    record(`answered ${id} with ${status}`);
    return { id, status };
  };
}

async function publish(
  { environment, record }: CaseContext,
  version: number,
  classes: readonly RequestClass[],
): Promise<void> {
  environment.store.objects.set('config', 'main', createManifest(version, classes));
  record(`version ${version} is acknowledged: ${classes.map(({ prefix }) => prefix).join(' ')}`);
  await Promise.resolve();
}

/** Sums the revisions of the daemons' leases: they rise as long as daemons reach the store. */
function sumLeaseRevisions({ store }: SoakEnvironment): number {
  return store.objects.list('amr-leases').reduce((sum, { metadata }) => sum + metadata.revision, 0);
}

async function run(context: CaseContext): Promise<readonly string[]> {
  const { environment, trouble, record } = context;
  const daemons = environment.endpoints.map(({ index }) => index);
  const send = createSend(context);
  await publish(context, 2, [PLAIN, DROPPED]);
  for (const daemon of daemons) {
    const isApplied = await waitUntil(
      async () => (await send(daemon, DROPPED)).status === OK,
      START_TIMEOUT_MS,
    );
    if (!isApplied) throw new Error(`daemon ${daemon} does not serve version 2`);
  }
  await sleep(SILENCE_DELAY_MS);
  if (trouble) {
    record('the open channels to the store go silent; new ones work');
    for (const relay of environment.storeRelays) relay.post({ type: 'silence' });
  }
  const before = sumLeaseRevisions(environment);
  await sleep(STABILITY_WINDOW_MS + TOUCH_MARGIN_MS);
  await publish(context, 3, [PLAIN, ADDED]);
  const ackedMs = performance.now();
  const boundMs = ackedMs + CONFIG_APPLY_MS;
  const violations: string[] = []; // eslint-disable-line no-restricted-syntax -- grows with the run
  const check = async (daemon: number): Promise<void> => {
    const sentMs = performance.now();
    const afterMs = Math.round(sentMs - ackedMs);
    const [added, dropped] = await Promise.all([send(daemon, ADDED), send(daemon, DROPPED)]);
    if (sentMs <= boundMs) return;
    if (added.status === NOT_FOUND)
      violations.push(`${added.id} at daemon ${daemon}, ${afterMs} ms after the acknowledgement, got 404`);
    const ran = selectEvents(environment.history.events, 'arrived').some(({ id }) => id === dropped.id);
    if (ran)
      violations.push(`${dropped.id} at daemon ${daemon}, ${afterMs} ms after it, ran on the dropped route`);
  };
  const pending: Promise<void>[] = []; // eslint-disable-line no-restricted-syntax -- grows with the run
  while (performance.now() < ackedMs + OBSERVED_MS) {
    pending.push(...daemons.map((daemon) => check(daemon)));
    await sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(pending);
  record(`lease writes reached the store meanwhile: ${sumLeaseRevisions(environment) > before}`);
  return violations;
}

runCase({ daemons: 4, manifest: createManifest(1, [PLAIN]), run });
