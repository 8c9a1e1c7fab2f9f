import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Timings } from '#settings/Timings.js';
import type { Instance } from '#settings/Instance.js';

/** Settings of a fleet of processes on loopback. */
export interface FleetOptions {
  /** Program and leading arguments that start `amaranthrouter`. */
  readonly command: readonly string[];
  readonly instances: readonly Instance[];
  readonly catalogue: Catalogue;
  /** Mean time of a request at a backend server, in milliseconds. */
  readonly serviceMs: number;
  /** Time until a backend server handles full load, in milliseconds. */
  readonly coldStartMs: number;
  readonly seed: number;
  readonly timings?: Partial<Timings>;
  /** Names of the logs that the daemons write, for example `amaranthrouter:*`; empty for none. */
  readonly logs: string;
  /** Returns the command of a backend server that runs instead of the stand-in. */
  readonly backendCommand?: (announceUrl: string, service: string) => readonly string[];
}
