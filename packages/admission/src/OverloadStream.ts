/** One stream of requests in the overload simulation. */
export interface OverloadStream {
  readonly team: string;
  readonly priority: number;
  readonly share: number;
  /** Offered load as a fraction of the capacity of the backend server. */
  readonly load: number;
}
