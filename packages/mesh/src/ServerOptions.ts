import type { CrashMark } from '#admission/CrashMark.js';
import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { ElapsedClock } from '#ranges/ElapsedClock.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { PresenceEvidence } from '#mesh/PresenceEvidence.js';

/** What `ServerTask` is created with. */
export interface ServerOptions {
  readonly place: DaemonIdentity;
  readonly processId: string;
  readonly headers: HeaderNames;
  readonly clock: Clock;
  readonly elapsed: ElapsedClock;
  readonly logger: Logger;
  /** Time after the acknowledgement of a leave in which keyed orders are still taken, in milliseconds. */
  readonly keyedLeaveMs: number;
  /** The same after operators took the failure domain out. */
  readonly keyedEvacuationMs: number;
  /** Receives what connections tell about the backend server's life. */
  readonly onEvidence: (evidence: PresenceEvidence) => void;
  /** Receives the load and the factor by which an undisturbed VM is slow, many times a second while there is any load. */
  readonly onLoad: (load: LoadReport, baseSlowdown: number) => void;
  /** Receives the work that an order for a key asks for, also if there is no room for it. */
  readonly onDemand: (key: number, workMs: number) => void;
  /** Receives marks of requests that may have crashed the backend server, for other daemons. */
  readonly onMarks: (marks: readonly CrashMark[]) => void;
}
