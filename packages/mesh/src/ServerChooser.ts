import type { BackendResult } from '#mesh/BackendResult.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Chooses the backend server for a request without a key. */
export abstract class ServerChooser {
  /** Returns the chosen candidate, or undefined if there are none. */
  public abstract choose(candidates: readonly ServerEntry[], nowMs: number): ServerEntry | undefined;

  /** Notes that an order was sent. */
  public abstract noteSent(serverId: string): void;

  /** Notes the end of an order that was sent `tookMs` ago. */
  public abstract noteResult(serverId: string, result: BackendResult, nowMs: number): void;

  /** Forgets servers that are not listed any more. */
  public abstract retain(serverIds: ReadonlySet<string>): void;
}
