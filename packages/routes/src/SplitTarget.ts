/** A service to which a route sends part of its requests. */
export interface SplitTarget {
  readonly service: string;
  /** Share relative to the weights of the route's other targets. */
  readonly weight: number;
}
