/** The part of a configuration that a finding or a difference is about. */
export type RouteSubject =
  | { readonly kind: 'configuration' | 'limits' }
  | { readonly kind: 'route' | 'service' | 'tenant'; readonly name: string };
