/** Paths of the private key and the certificate (PEM) of the administration API. */
export interface TlsFiles {
  readonly keyFile: string;
  readonly certFile: string;
}
