import { setTimeout as sleep } from 'node:timers/promises';
import { CallerConnection } from '#fixtures/CallerConnection.js';
import { createManifest } from '#fixtures/CreateManifest.js';
import type { RequestClass } from '#fixtures/RequestClass.js';
import { waitUntil } from '#fixtures/WaitUntil.js';
import { selectEvents } from '#soak/SelectEvents.js';
import type { CaseContext } from './CaseContext.js';
import { CrashingResponse } from './CrashingResponse.js';
import { runCase } from './RunCase.js';

const IMPORT: RequestClass = { prefix: '/import/', keyed: false, idempotent: false };

/** Six daemons, of which the last three stand beside backend servers without keys. */
const DAEMONS = 6;
const PLAIN: readonly number[] = [3, 4, 5];

/** Bound of the rules for a small deployment. */
const STABILITY_WINDOW_MS = 3_000;

/** Retries that may still reach instances after the third crash. */
const ALLOWED_RETRIES = 3;

/** A crashed backend server is back after this time. */
const CRASH_MS = 2_000;

/** Pause between two requests that a client sends to one daemon. */
const RETRY_INTERVAL_MS = 500;

/** Pause after a restart and after each crash, longer than the stability window. */
const PAUSE_MS = 4_000;

const START_TIMEOUT_MS = 20_000;

const REQUESTS_PER_ROUND = 16;

const OK = 200;

const CRASHING = 'crashing-';

class CrashScript {
  private readonly context: CaseContext;
  private readonly connections: ReadonlyMap<number, CallerConnection>;
  private count = 0;

  public constructor(context: CaseContext) {
    this.context = context;
    const { endpoints } = context.environment;
    this.connections = new Map(
      PLAIN.flatMap((index) =>
        endpoints
          .slice(index, index + 1)
          .map(({ callers }): [number, CallerConnection] => [index, new CallerConnection(callers)]),
      ),
    );
  }

  /** Lets crash each backend server that runs a request of `sendCrashing`. */
  public arm(): void {
    for (const index of PLAIN) this.armBackend(index);
  }

  /** Waits until a daemon serves requests. */
  public async waitServing(daemon: number): Promise<void> {
    const isServed = await waitUntil(
      async () => (await this.send(daemon, 'sound-', `sound ${daemon}`)) === OK,
      START_TIMEOUT_MS,
    );
    if (!isServed) throw new Error(`daemon ${daemon} does not serve requests`);
  }

  /** Sends the request that crashes servers, always the same but for its id. Returns whether it reached one. */
  public async sendCrashing(daemon: number): Promise<boolean> {
    const before = this.countReached();
    await this.send(daemon, CRASHING, 'the row that crashes the parser');
    return this.countReached() > before;
  }

  /** Sends the request to one daemon after the other until it has reached `times` servers, `REQUESTS_PER_ROUND` times at most. */
  public async repeat(times: number): Promise<void> {
    let reached = 0;
    for (let sent = 0; sent < REQUESTS_PER_ROUND && reached < times; sent += 1) {
      const hasReached = await this.sendCrashing(PLAIN[sent % PLAIN.length] ?? 0);
      if (hasReached) reached += 1;
      await sleep(hasReached ? PAUSE_MS : RETRY_INTERVAL_MS);
    }
  }

  /** Times at which the request reached a server, in milliseconds. */
  public listReached(): readonly number[] {
    return selectEvents(this.context.environment.history.events, 'arrived')
      .filter(({ id, ran }) => id.startsWith(CRASHING) && ran)
      .map(({ at }) => at);
  }

  private countReached(): number {
    return this.listReached().length;
  }

  private armBackend(index: number): void {
    const { environment, record } = this.context;
    const backend = environment.backends[index];
    if (backend === undefined) throw new Error('no backend server');
    const style = new CrashingResponse(CRASHING, () => {
      record(`the request crashes backend server ${index}`);
      backend.post({ type: 'crash' });
      setTimeout(() => {
        backend.post({ type: 'start', sameId: false });
        this.armBackend(index);
      }, CRASH_MS);
    });
    backend.post({ type: 'style', style });
  }

  private async send(daemon: number, idPrefix: string, text: string): Promise<number> {
    this.count += 1;
    const id = `${idPrefix}${this.count}`;
    const headers = { host: 'soak.example', 'x-request-id': id, 'x-deadline-ms': '1200' };
    this.context.record(`sent ${id} POST /import/rows to daemon ${daemon}`);
    const request = { method: 'POST', path: '/import/rows', headers, body: Buffer.from(text) } as const;
    const status = (await this.connections.get(daemon)?.send(request))?.status ?? 0;
    this.context.record(`answered ${id} with ${status}`);
    return status;
  }
}

async function run(context: CaseContext): Promise<readonly string[]> {
  const { environment, trouble, record } = context;
  const script = new CrashScript(context);
  for (const daemon of PLAIN) await script.waitServing(daemon);
  script.arm();
  await script.repeat(2);
  record(
    `the request has crashed ${script.listReached().length} servers; now the daemons are restarted in turn`,
  );
  for (const index of PLAIN) {
    const daemon = environment.daemons[index];
    if (daemon === undefined) throw new Error('no daemon');
    if (trouble) {
      record(`SIGTERM to daemon ${index}`);
      await daemon.end(true);
      await daemon.start();
      if (!(await daemon.waitReady(START_TIMEOUT_MS))) throw new Error('a daemon did not become ready');
      record(`daemon ${index} is ready again`);
    }
    await sleep(PAUSE_MS);
    await script.repeat(2);
  }
  const reached = script.listReached();
  const third = reached[2];
  const late = third === undefined ? [] : reached.filter((at) => at > third + STABILITY_WINDOW_MS);
  record(
    `${reached.length} runs, ${late.length} of them more than ${STABILITY_WINDOW_MS} ms after the third`,
  );
  return late.length > ALLOWED_RETRIES
    ? [
        `the request reached instances in ${late.length} retries later than ${STABILITY_WINDOW_MS} ms after the third crash`,
      ]
    : [];
}

runCase({ daemons: DAEMONS, manifest: createManifest(1, [IMPORT]), run });
