import type { Timings } from '#settings/Timings.js';
import type { TlsFiles } from '#settings/TlsFiles.js';

/** Validated settings of one daemon. */
export interface Settings {
  readonly serverId: string;
  readonly vm: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Numeric IP address at which callers and peers reach this daemon. */
  readonly host: string;
  /** Ports to listen on; 0 lets the operating system choose. */
  readonly ports: {
    readonly caller: number;
    readonly peer: number;
    readonly udp: number;
    readonly admin: number;
    /** Loopback port on which the backend server on the same VM announces itself. */
    readonly backend: number;
  };
  /** Base URL of the object store, for example `http://10.0.0.5:7000`. */
  readonly storeUrl: string;
  /** Addresses (`host:port`, with the peer port) of daemons to query while the store cannot be reached. */
  readonly seeds: readonly string[];
  /** Secret of at least 32 characters with which daemons authenticate to each other. */
  readonly fleetKey: string;
  /** Pattern of the log names to enable, for example `amaranthrouter:*`; empty for none. */
  readonly logs: string;
  readonly timings: Timings;
  /** TLS files of the administration API; it serves plain HTTP without them. */
  readonly adminTls?: TlsFiles;
}
