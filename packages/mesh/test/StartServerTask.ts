import { SystemClock } from '#core/SystemClock.js';
import { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { Presence } from '#mesh/Presence.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';
import { ServerTask } from '#mesh/ServerTask.js';
import { RawServer } from './RawServer.js';
import type { RawRequest } from './RawRequest.js';
import { RecordingLogger } from './RecordingLogger.js';
import { testHeaders } from './TestHeaders.js';

interface Teardown {
  readonly teardown: (close: () => unknown) => void;
}

interface ServerRun {
  readonly task: ServerTask;
  readonly server: RawServer;
  readonly logger: RecordingLogger;
  readonly evidence: readonly PresenceEvidence[];
  /** Keys of the requests that were reported as demand. */
  readonly demands: readonly number[];
  readonly announce: (change: Partial<Presence>) => void;
  readonly run: (request: BackendRequest) => Promise<BackendResult>;
}

/** Starts a `ServerTask` beside a backend server that handles requests with `onRequest`. */
export async function startServerTask(
  t: Teardown,
  onRequest: (request: RawRequest) => void,
): Promise<ServerRun> {
  const server = new RawServer(onRequest);
  const address = await server.start();
  const clock = new SystemClock();
  const logger = new RecordingLogger('test');
  const evidence: PresenceEvidence[] = [];
  const demands: number[] = [];
  const task = new ServerTask({
    identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
    processId: 'p1',
    headers: testHeaders,
    clock,
    elapsed: new ElapsedClock(clock),
    logger,
    keyedLeaveMs: 1_800,
    keyedEvacuationMs: 3_500,
    onEvidence: (each) => evidence.push(each),
    onLoad: () => undefined,
    onDemand: (key) => demands.push(key),
    onMarks: () => undefined,
  });
  const announce = (change: Partial<Presence>): void => {
    const presence: Presence = {
      state: 'ready',
      service: 's',
      address,
      instanceId: 'i',
      incarnation: 'i/1',
      slots: 4,
      coldUntilMs: 0,
      announcedMs: performance.now(),
      leavingMs: undefined,
      ...change,
    };
    task.post({ type: 'presence', presence });
  };
  announce({});
  t.teardown(() => {
    task.stop();
    server.stop();
  });
  const run = (request: BackendRequest): Promise<BackendResult> =>
    task.ask((reply) => ({ type: 'order', request, reply }));
  return { task, server, logger, evidence, demands, announce, run };
}
