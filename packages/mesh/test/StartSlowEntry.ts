import { Worker } from 'node:worker_threads';
import { defaultCallerCapacity } from '#connection/DefaultCallerCapacity.js';
import { Logger } from '#core/Logger.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { PhaseRecorder } from '#metrics/PhaseRecorder.js';
import { ArrivalTask } from '#mesh/ArrivalTask.js';
import { CallerTask } from '#mesh/CallerTask.js';
import { EntryTask } from '#mesh/EntryTask.js';
import { FastestCompletion } from '#mesh/FastestCompletion.js';
import { createEntry } from './CreateEntry.js';
import { createTestGate } from './CreateTestGate.js';
import { createView } from './CreateView.js';
import { findFreePort } from './FindFreePort.js';
import { testHeaders } from './TestHeaders.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

interface SlowEntry {
  /** Ids of the forwarded requests, in order. */
  readonly sent: readonly string[];
  /** Returns the number of requests that were read and are not yet handled. */
  readonly waiting: () => number;
  /** Runs a program of this folder in a worker thread with `data` and the port of the daemon. */
  readonly runThread: (file: string, data: object) => void;
}

/** Starts the caller side of a daemon that blocks for `workMs` per forwarded request and then gets the response at once. */
export async function startSlowEntry(
  t: Teardown,
  workMs: number,
  onSend: (id: string) => void = () => undefined,
): Promise<SlowEntry> {
  const port = await findFreePort();
  const clock = new SystemClock();
  const logger = new Logger('test');
  const metrics = new MetricsRecorder();
  const identity = { serverId: 'own', failureDomain: 'd', region: 'r', service: 'c' };
  const sent: string[] = [];
  const entry = new EntryTask({
    identity,
    clock,
    logger,
    metrics,
    chooser: new FastestCompletion(identity, new RandomSource(1), new Logger('test'), metrics),
    tenants: createTestGate(),
    retryFraction: 0.2,
    retryMinimum: 5,
    send: ({ callerRequest }, _server, reply) => {
      onSend(callerRequest.id);
      sent.push(callerRequest.id);
      const untilMs = performance.now() + workMs;
      while (performance.now() < untilMs);
      reply({
        type: 'answered',
        response: { status: 200, headers: [], body: Buffer.alloc(0) },
        load: undefined,
      });
    },
    cancel: () => undefined,
  });
  entry.post({ type: 'view', view: createView([createEntry('a')]) });
  const arrivals = new ArrivalTask({
    clock,
    logger,
    metrics,
    delays: new PhaseRecorder(),
    onRequest: (exchange, request, reply) => entry.post({ type: 'arrived', exchange, request, reply }),
    onLeft: (exchange) => entry.post({ type: 'left', exchange }),
  });
  const callers = new CallerTask({
    host: '127.0.0.1',
    port,
    headers: testHeaders,
    capacity: defaultCallerCapacity,
    metrics: new MetricsRecorder(),
    clock,
    logger,
    onAccepted: () => arrivals.post({ type: 'accepted' }),
    onRequest: (exchange, request, reply) => arrivals.post({ type: 'arrived', exchange, request, reply }),
    onLeft: (exchange) => arrivals.post({ type: 'left', exchange }),
  });
  arrivals.start();
  await callers.listen();
  t.teardown(() => {
    callers.stop();
    arrivals.stop();
  });
  const runThread = (file: string, data: object): void => {
    const worker = new Worker(new URL(file, import.meta.url), { workerData: { ...data, port } });
    t.teardown(() => worker.terminate());
  };
  return { sent, waiting: () => arrivals.load, runThread };
}
