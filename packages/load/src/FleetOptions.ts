import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Timings } from '#settings/Timings.js';
import type { FleetInstance } from '#load/FleetInstance.js';

/** What a fleet of processes on loopback is started from. */
export interface FleetOptions {
  /** Program and first arguments that run `amaranthrouter`. */
  readonly command: readonly string[];
  readonly instances: readonly FleetInstance[];
  readonly catalogue: Catalogue;
  /** Mean time of a request at a backend server, in milliseconds. */
  readonly serviceMs: number;
  /** Time until a backend server bears full load, in milliseconds. */
  readonly coldStartMs: number;
  readonly seed: number;
  readonly timings?: Partial<Timings>;
  /** Log names of the daemons, for example `amaranthrouter:*`; empty for none. */
  readonly logs: string;
}
