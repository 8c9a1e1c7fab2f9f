import type { Route } from '#routes/Route.js';
import type { RouteTable } from '#routes/RouteTable.js';

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteIndex {
  public readonly table: RouteTable;
  private readonly byHost: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  public constructor(table: RouteTable) {
    this.table = table;
    const byHost = new Map<string, Map<string, Route>>();
    for (const route of table.routes) {
      const host = route.host.toLowerCase();
      const prefixes = byHost.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      byHost.set(host, prefixes);
    }
    this.byHost = byHost;
  }

  /** Returns the route of a request, or undefined. `host` may contain a port, and `target` a query. */
  public find(host: string, target: string): Route | undefined {
    const prefixes = this.byHost.get(withoutPort(host));
    if (prefixes === undefined) return undefined;
    let path = target.split('?', 1)[0] ?? '';
    while (path !== '') {
      const end = path.lastIndexOf('/');
      if (end < 0) return undefined;
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      path = path.slice(0, end);
    }
    return undefined;
  }
}

function withoutPort(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}
