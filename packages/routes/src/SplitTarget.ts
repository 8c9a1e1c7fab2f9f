/** A service that receives part of the requests of a route. */
export interface SplitTarget {
  readonly service: string;
  /** Share relative to the weights of the route's other targets. */
  readonly weight: number;
}
