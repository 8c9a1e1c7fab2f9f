import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Timings } from '#settings/Timings.js';
import type { Instance } from '#settings/Instance.js';

/** What a fleet of processes on loopback is started from. */
export interface FleetOptions {
  /** Program and first arguments that run `amaranthrouter`. */
  readonly command: readonly string[];
  readonly instances: readonly Instance[];
  readonly catalogue: Catalogue;
  /** Mean time of a request at a backend server, in milliseconds. */
  readonly serviceMs: number;
  /** Time until a backend server bears full load, in milliseconds. */
  readonly coldStartMs: number;
  readonly seed: number;
  readonly timings?: Partial<Timings>;
  /** Log names of the daemons, for example `amaranthrouter:*`; empty for none. */
  readonly logs: string;
  /** Command that runs a backend server in place of the stand-in, from its announcement URL and service. */
  readonly backendCommand?: (announceUrl: string, service: string) => readonly string[];
}
