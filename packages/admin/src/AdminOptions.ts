import type { TlsFiles } from '#settings/TlsFiles.js';

/** Address, bootstrap key and TLS files of the administration API. */
export interface AdminOptions {
  readonly host: string;
  /** 0 lets the operating system choose. */
  readonly port: number;
  /** Accepted as an operator's token while there is no catalogue. */
  readonly fleetKey: string;
  /** Without these files, the API is served over plain HTTP. */
  readonly tls?: TlsFiles;
}
