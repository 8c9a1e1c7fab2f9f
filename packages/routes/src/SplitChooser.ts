import type { Route } from '#routes/Route.js';

/**
 * Chooses the service of each request of a route by smooth weighted round robin, so that even a short sequence of requests
 * is divided nearly by the weights. Keeps state only for the routes of the current configuration.
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
    const chosen = route.targets.reduce((left, right) =>
      (credit.get(right.service) ?? 0) > (credit.get(left.service) ?? 0) ? right : left,
    );
    credit.set(chosen.service, (credit.get(chosen.service) ?? 0) - total);
    return chosen.service;
  }

  /** Forgets routes that are no longer configured. */
  public retain(routes: readonly Route[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.credits.keys()) if (!names.has(name)) this.credits.delete(name);
  }
}
