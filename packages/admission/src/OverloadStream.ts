/** One stream of requests in the overload calculation. */
export interface OverloadStream {
  readonly team: string;
  readonly priority: number;
  readonly share: number;
  /** Offered work as a part of the capacity of the backend server. */
  readonly load: number;
}
