import type { CrashMark } from '#admission/CrashMark.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';

/** Identity, collaborators, limits and callbacks of `ServerTask`. */
export interface ServerOptions {
  readonly identity: DaemonIdentity;
  readonly processId: string;
  readonly headers: HeaderNames;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  /** Time after an acknowledged leave in which requests with keys are still accepted, in milliseconds. */
  readonly keyedLeaveMs: number;
  /** Time after the evacuation of the failure domain in which requests with keys are still accepted, in milliseconds. */
  readonly keyedEvacuationMs: number;
  /** Receives evidence that the backend server may have ended. */
  readonly onEvidence: (evidence: PresenceEvidence) => void;
  /** Receives the load and the slowdown of the undisturbed VM, many times per second while there is any load. */
  readonly onLoad: (load: LoadReport, baseSlowdown: number) => void;
  /** Receives the expected service time of each request with a key, also if it is refused because the queue is full. */
  readonly onDemand: (key: number, workMs: number) => void;
  /** Receives marks of requests that may have crashed the backend server, to be sent to the other daemons. */
  readonly onMarks: (marks: readonly CrashMark[]) => void;
}
