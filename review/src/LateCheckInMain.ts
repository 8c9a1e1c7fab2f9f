import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { waitUntil } from '#fixtures/WaitUntil.js';
import type { CaseContext } from './CaseContext.js';
import { LeavingInstance } from './LeavingInstance.js';
import { runCase } from './RunCase.js';

const PLAIN: RequestClass = { prefix: '/plain/', keyed: false, idempotent: false };

/** Four daemons, of which the last two stand beside backend servers without keys. */
const DAEMONS = 4;

/** The daemon beside the backend server that leaves. */
const LEAVING = 3;

/** Bounds of the rules for a small deployment. */
const STABILITY_WINDOW_MS = 3_000;
const DRAIN_MS = 2_500;

/** Moments after the delayed check-in was sent, in milliseconds. */
const DEREGISTER_MS = 100;
const STOP_MS = 200;
const CHECK_IN_ARRIVES_MS = 4_000;
const INSTANCE_ENDS_MS = 12_000;

const REQUEST_INTERVAL_MS = 100;

const START_TIMEOUT_MS = 20_000;

async function run(context: CaseContext): Promise<readonly string[]> {
  const { environment, trouble, record } = context;
  const endpoints = environment.endpoints[LEAVING];
  const daemon = environment.daemons[LEAVING];
  if (endpoints === undefined || daemon === undefined) throw new Error('no daemon');
  const sentMs = new Map<string, number>();
  const ranMs = new Map<string, number>();
  const instance = new LeavingInstance(endpoints, (id) => {
    ranMs.set(id, performance.now());
    record(`the leaving instance runs ${id}`);
  });
  await instance.start();
  const connections = environment.endpoints.map(({ callers }) => new CallerConnection(callers));
  let count = 0;
  const send = async (entry: number): Promise<void> => {
    count += 1;
    const id = `request-${count}`;
    sentMs.set(id, performance.now());
    record(`sent ${id} POST /plain/${count} to daemon ${entry}`);
    const headers = { host: 'soak.example', 'x-request-id': id, 'x-deadline-ms': '1200' };
    const request = { method: 'POST', path: `/plain/${count}`, headers, body: Buffer.from('body') } as const;
    const response = await connections[entry]?.send(request);
    record(`answered ${id} with ${response?.status ?? 0}`);
  };
  const isUsed = await waitUntil(async () => {
    await send(LEAVING);
    return ranMs.size > 0;
  }, START_TIMEOUT_MS);
  if (!isUsed) throw new Error('the instance gets no requests');

  const timer = setInterval(
    () => environment.endpoints.map(({ index }) => void send(index)),
    REQUEST_INTERVAL_MS,
  );
  const startMs = performance.now();
  const at = (ms: number): Promise<void> => sleep(Math.max(0, startMs + ms - performance.now()));
  const delayed = instance.createCheckIn();
  record('the instance sends a check-in, which is held up on its way');
  await at(DEREGISTER_MS);
  if (!(await instance.deregister())) throw new Error('the deregistration was not acknowledged');
  const ackMs = performance.now();
  record('the instance has deregistered, and the daemon has acknowledged it');
  let touchMs = ackMs;
  if (trouble) {
    await at(STOP_MS);
    record(`SIGTERM to daemon ${LEAVING}`);
    await daemon.end(true);
    await daemon.start();
    touchMs = performance.now() + STABILITY_WINDOW_MS;
    record(`daemon ${LEAVING} is started again`);
    await daemon.waitReady(START_TIMEOUT_MS);
    record(`daemon ${LEAVING} is ready`);
    await at(CHECK_IN_ARRIVES_MS);
    record(`the delayed check-in arrives; acknowledged: ${await instance.deliver(delayed)}`);
  }
  await at(INSTANCE_ENDS_MS);
  clearInterval(timer);
  instance.stop();
  record('the instance ends');
  return [...ranMs]
    .filter(([id, ran]) => ran > ackMs + DRAIN_MS && (sentMs.get(id) ?? 0) > touchMs)
    .map(([id, ran]) => `${id} reached the instance ${Math.round(ran - ackMs)} ms after the acknowledgement`);
}

runCase({ daemons: DAEMONS, ownBackends: [LEAVING], manifest: createManifest(1, [PLAIN]), run });
