import type { Route } from '#routes/Route.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { listCandidateServers } from '#mesh/ListCandidateServers.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { MeshView } from '#mesh/MeshView.js';

/** The current view of the fleet, and the daemons that could not be reached recently. */
export class ServerDirectory {
  private readonly ownId: string;
  private readonly unreachable = new Map<string, number>();
  private current: MeshView = emptyMeshView;

  public constructor(ownId: string) {
    this.ownId = ownId;
  }

  public get view(): MeshView {
    return this.current;
  }

  /** Replaces the view. */
  public update(view: MeshView): void {
    this.current = view;
  }

  /** Notes whether an address is reachable. An unreachable one is not tried until `untilMs` of monotonic time. */
  public noteReachability(address: string, reachable: boolean, untilMs: number): void {
    if (reachable) this.unreachable.delete(address);
    else this.unreachable.set(address, untilMs);
  }

  public isReachable({ address, serverId }: ServerEntry, nowMs: number): boolean {
    return serverId === this.ownId || (this.unreachable.get(address) ?? 0) <= nowMs;
  }

  /** Whether the service has keys with exclusive owners. */
  public isKeyed(service: string): boolean {
    return this.current.routes?.table.services.get(service)?.keyed === true;
  }

  /** Lists the reachable servers that may run a request without a key and have not been tried yet. */
  public listUntriedCandidates(
    route: Route,
    service: string,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): readonly ServerEntry[] {
    return listCandidateServers(
      this.current,
      route,
      service,
      (server) => !tried.has(server.serverId) && this.isReachable(server, nowMs),
    );
  }
}
