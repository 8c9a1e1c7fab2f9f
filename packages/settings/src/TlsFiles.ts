/** Files in PEM format by which the administration API serves TLS. */
export interface TlsFiles {
  readonly keyFile: string;
  readonly certFile: string;
}
