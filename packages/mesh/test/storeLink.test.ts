import { Left, Right, type Either } from 'purify-ts';
import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { RouterError } from '#core/RouterError.js';
import type { StoreLinkMessage } from '#mesh/StoreLinkMessage.js';
import { StoreLinkTask } from '#mesh/StoreLinkTask.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';
import type { ProbedConnection } from '#store/ProbedConnection.js';

type ProbeResult = Either<RouterError, undefined>;

const FAILED: ProbeResult = Left(
  new RouterError({ code: 'storeUnreachable', step: 'store', peer: '', ran: 'not run', status: 503 }, 'test'),
);

/** A store whose probes wait until the test answers them. */
class ProbedStore extends MemoryCollectionStore {
  public probes: ProbedConnection[] = [];
  private readonly waiting = new Map<ProbedConnection, (result: ProbeResult) => void>();

  public override probe(connection?: ProbedConnection): Promise<ProbeResult> {
    this.probes.push(connection ?? 'kept');
    return new Promise((resolve) => this.waiting.set(connection ?? 'kept', resolve));
  }

  public answer(connection: ProbedConnection, result: ProbeResult = Right(undefined)): void {
    this.waiting.get(connection)?.(result);
  }
}

/** Test harness of `StoreLinkTask` with a manual clock. */
class LinkRun {
  public readonly store = new ProbedStore();
  public readonly clock = new ManualClock();
  public reports = 0;
  public confirmed: number[] = [];
  private readonly task = new StoreLinkTask({
    store: this.store,
    clock: this.clock,
    logger: new Logger('test'),
    onReplaced: () => {
      this.reports += 1;
    },
    onConfirmed: (sentMs) => this.confirmed.push(sentMs),
  });

  public async post(message: StoreLinkMessage): Promise<void> {
    this.task.post(message);
    await this.advance(0);
  }

  public async start(): Promise<void> {
    this.task.start();
    await this.advance(0);
  }

  public async advance(ms: number): Promise<void> {
    this.clock.advance(ms);
    for (let index = 0; index < 10; index += 1) await new Promise((resolve) => setImmediate(resolve));
  }

  public async answer(connection: ProbedConnection, result?: ProbeResult): Promise<void> {
    this.store.answer(connection, result);
    await this.advance(0);
  }
}

t.test('silent connection is replaced if a new one works', async (t) => {
  // Guards against watches that wait on silent connections as if there were no news.
  const run = new LinkRun();
  await run.start();
  await run.answer('kept');
  await run.advance(1_000);
  t.same(run.store.probes, ['kept', 'kept']);
  await run.advance(600);
  t.same(run.store.probes, ['kept', 'kept', 'new']);
  t.equal(run.store.replacements, 0);
  await run.answer('new');
  t.equal(run.store.replacements, 1);
  t.equal(run.reports, 1);
});

t.test('slow store does not cost its connections', async (t) => {
  // Guards against connections that are replaced, and calls that are repeated, whenever the store is slow.
  const run = new LinkRun();
  await run.start();
  await run.advance(900);
  await run.answer('kept');
  await run.answer('new');
  t.equal(run.store.replacements, 0);
  await run.advance(1_000);
  t.same(run.store.probes, ['kept', 'new', 'kept'], 'probing continues');
});

t.test('outage of the store replaces connections once', async (t) => {
  // Guards against four new watches for each probe in an outage.
  const run = new LinkRun();
  await run.start();
  await run.advance(600);
  for (let round = 0; round < 5; round += 1) {
    await run.answer('new', FAILED);
    await run.advance(1_000);
  }
  t.equal(run.store.replacements, 0);
  await run.answer('new');
  t.equal(run.store.replacements, 1);
  await run.advance(1_000);
  t.equal(run.store.probes.at(-1), 'kept');
});

t.test('ended connection is replaced at once', async (t) => {
  // The next connection for probes is younger than those of the watches, and would not go silent with them.
  const run = new LinkRun();
  await run.start();
  await run.answer('kept', FAILED);
  t.same(run.store.probes, ['kept', 'new']);
  await run.answer('new');
  t.equal(run.store.replacements, 1);
});

t.test('answer of the kept connection confirms the time of its probe', async (t) => {
  // Guards against an age of the state that leaves out the time of the answer.
  const run = new LinkRun();
  await run.start();
  await run.advance(300);
  await run.answer('kept');
  t.same(run.confirmed, [0]);
  await run.advance(700);
  t.same(run.store.probes, ['kept', 'kept'], 'the next probe is sent a second after the last one');
  await run.advance(600);
  await run.answer('new');
  t.same(run.confirmed, [0], 'a new connection confirms nothing about the watches');
});

t.test('daemon that reads through another one sends no probes', async (t) => {
  // Guards against a fleet whose probes grow with its size, and against one that is never probed again.
  const run = new LinkRun();
  await run.start();
  await run.post({ type: 'pause' });
  await run.answer('kept');
  await run.advance(5_000);
  t.same(run.store.probes, ['kept']);
  t.same(run.confirmed, []);
  await run.post({ type: 'resume' });
  t.same(run.store.probes, ['kept', 'kept']);
  await run.answer('kept');
  t.same(run.confirmed, [5_000]);
});
