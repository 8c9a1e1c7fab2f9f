import type { BackendResult } from '#mesh/BackendResult.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Chooses the backend server for a request without a key. */
export abstract class ServerChooser {
  /** Returns the chosen candidate, or undefined if there is none. */
  public abstract choose(candidates: readonly ServerEntry[], nowMs: number): ServerEntry | undefined;

  /** Notes that a request was sent to a server. */
  public abstract noteSent(serverId: string): void;

  /** Notes the result of a request that was sent to a server. */
  public abstract noteResult(serverId: string, result: BackendResult, nowMs: number): void;

  /** Forgets all servers except the given ones. */
  public abstract retain(serverIds: ReadonlySet<string>): void;
}
