import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createSoakEnvironment } from '#soak/CreateSoakEnvironment.js';
import type { SoakEnvironment } from '#soak/SoakEnvironment.js';
import type { CaseContext } from './CaseContext.js';

const SEED = 30;

const START_TIMEOUT_MS = 20_000;

/** A case that takes longer could not run. */
const CASE_TIMEOUT_MS = 105_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

interface CaseOptions {
  /** Number of daemons; the first half of them serves keys. */
  readonly daemons: number;
  /** Daemons beside which the case starts a backend server of its own. */
  readonly ownBackends?: readonly number[];
  /** The configuration that is in force at the start. */
  readonly manifest: unknown;
  /** Runs the case and returns the violations of the rule that it saw. */
  readonly run: (context: CaseContext) => Promise<readonly string[]>;
}

/**
 * Starts daemons with their stand-ins, runs one case against them, writes `record.txt` into the folder that the first
 * argument names, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export function runCase(options: CaseOptions): void {
  const folder = process.argv[2] ?? '.';
  const trouble = process.env.TROUBLE !== '0';
  const startMs = performance.now();
  const lines: string[] = []; // eslint-disable-line no-restricted-syntax -- grows with the run
  const record = (line: string): void => {
    lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3)} ${line}`);
  };
  const exit = (status: number): never => {
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(status);
  };
  const fail = (reason: string): never => {
    record(`could not run: ${reason}`);
    return exit(EXIT_NOT_RUN);
  };
  setTimeout(() => fail('the case took too long'), CASE_TIMEOUT_MS);
  process.on('uncaughtException', (err) => fail(String(err)));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => fail(`got ${signal}`));
  record(trouble ? 'with the disruption' : 'without the disruption');
  runInEnvironment(options, { trouble, record }).then(
    (violations) => {
      for (const violation of violations) record(`broken: ${violation}`);
      record(violations.length > 0 ? 'the rule was broken' : 'the rule held');
      exit(violations.length > 0 ? EXIT_BROKEN : EXIT_HELD);
    },
    (err: unknown) => fail(String(err)),
  );
}

async function runInEnvironment(
  { daemons: count, ownBackends = [], manifest, run }: CaseOptions,
  context: Omit<CaseContext, 'environment'>,
): Promise<readonly string[]> {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const environment = await createSoakEnvironment(SEED, count, directory);
  const { daemons, backends, store } = environment;
  process.once('exit', () => {
    for (const daemon of daemons) daemon.signal('SIGKILL');
    rmSync(directory, { recursive: true, force: true });
  });
  try {
    store.objects.set('config', 'main', manifest);
    for (const [index, backend] of backends.entries())
      if (!ownBackends.includes(index)) backend.post({ type: 'start', sameId: false });
    await Promise.all(daemons.map((daemon) => daemon.start()));
    const ready = await Promise.all(daemons.map((daemon) => daemon.waitReady(START_TIMEOUT_MS)));
    if (ready.includes(false)) throw new Error('a daemon did not become ready');
    context.record(`${count} daemons are ready`);
    return await run({ ...context, environment });
  } finally {
    await stop(environment);
  }
}

async function stop({ daemons, backends, store, storeRelays, peerRelays }: SoakEnvironment): Promise<void> {
  await Promise.all(daemons.map((daemon) => daemon.end(false)));
  for (const task of [...backends, store, ...storeRelays, ...peerRelays.flat()]) task.stop();
}
