/** An IP address and port to listen on. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
