import type { TlsFiles } from '#settings/TlsFiles.js';

/** Where and how the administration API listens. */
export interface AdminOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  /** Accepted as a token while there is no catalogue. */
  readonly fleetKey: string;
  /** Serves TLS with these files; plain HTTP without them. */
  readonly tls?: TlsFiles;
}
