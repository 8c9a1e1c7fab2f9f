import type { Route } from '#routes/Route.js';

/**
 * Chooses the service of each request of a route by smooth weighted round robin, so that any short run of requests is
 * divided close to the weights. State is kept for the routes of the present configuration only.
 */
export class SplitChooser {
  private readonly credits = new Map<string, Map<string, number>>();

  /** Returns the service for the next request of the route; undefined if no target has a weight. */
  public choose(route: Route): string | undefined {
    const [only] = route.targets;
    if (route.targets.length === 1) return only?.service;
    const credit = this.credits.get(route.name) ?? new Map<string, number>();
    this.credits.set(route.name, credit);
    const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
    if (total <= 0) return undefined;
    for (const { service, weight } of route.targets) credit.set(service, (credit.get(service) ?? 0) + weight);
    const best = route.targets.reduce((left, right) =>
      (credit.get(right.service) ?? 0) > (credit.get(left.service) ?? 0) ? right : left,
    );
    credit.set(best.service, (credit.get(best.service) ?? 0) - total);
    return best.service;
  }

  /** Forgets the routes that the configuration no longer names. */
  public retain(routes: readonly Route[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.credits.keys()) if (!names.has(name)) this.credits.delete(name);
  }
}
