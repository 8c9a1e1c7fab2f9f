/** A numeric address to listen at. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
