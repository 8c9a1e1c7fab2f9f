import type { Timings } from '#settings/Timings.js';
import type { TlsFiles } from '#settings/TlsFiles.js';

/** Checked settings of one daemon. */
export interface Settings {
  readonly serverId: string;
  readonly vm: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Numeric IP address at which callers and peers reach this daemon. */
  readonly host: string;
  /** Ports; 0 lets the system choose. */
  readonly ports: {
    readonly caller: number;
    readonly peer: number;
    readonly udp: number;
    readonly admin: number;
    /** Loopback port on which the backend server beside this daemon announces itself. */
    readonly backend: number;
  };
  /** Base URL of the object store, for example `http://10.0.0.5:7000`. */
  readonly storeUrl: string;
  /** Peers (`host:port` of their peer port) that are asked when the store cannot be reached. */
  readonly seeds: readonly string[];
  /** Shared secret, at least 32 characters, by which daemons prove themselves to each other. */
  readonly fleetKey: string;
  /** Pattern of the log names to write, for example `amaranthrouter:*`; empty for none. */
  readonly logs: string;
  readonly timings: Timings;
  /** TLS files of the administration API; it serves plain HTTP without them. */
  readonly adminTls?: TlsFiles;
}
