import { ColdStartLimit } from '#mesh/ColdStartLimit.js';
import { hasToEnd } from '#mesh/HasToEnd.js';
import { holdsKey } from '#mesh/HoldsKey.js';
import { isCold } from '#mesh/IsCold.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';
import type { ServerState } from '#mesh/ServerState.js';
import { ShortKinds } from '#mesh/ShortKinds.js';

/** Time for which a short order keeps one slot free for others of its kind, in milliseconds. */
const SHORT_KEEP_MS = 5_000;

/** Decides which waiting orders may start now. Times are monotonic, in milliseconds. */
export class StartRule {
  private readonly options: ServerOptions;
  private readonly kinds = new ShortKinds();
  private readonly cold = new ColdStartLimit();
  private shortUntilMs = 0;

  public constructor(options: ServerOptions) {
    this.options = options;
  }

  /** Notes that an order arrived, and tells whether it is a short one. */
  public noteArrival(order: BackendRequest, nowMs: number): boolean {
    const isShort = this.kinds.note(order.targetLatencyMs);
    if (isShort) this.shortUntilMs = nowMs + SHORT_KEEP_MS;
    return isShort;
  }

  /** Notes that an order starts. */
  public noteStart(nowMs: number): void {
    this.cold.note(nowMs);
  }

  /** Whether an order may start beside `running` others. */
  public allows(
    { order, isShort }: QueuedBackendRequest,
    state: ServerState,
    running: number,
    nowMs: number,
  ): boolean {
    const { presence, keyed, coldPerSecond } = state;
    const keepsSlot = !isShort && nowMs < this.shortUntilMs && presence.slots > 2;
    if (running >= presence.slots - (keepsSlot ? 1 : 0)) return false;
    if (keyed && !this.isGranted(order, state)) return false;
    if (hasToEnd(state, this.options, nowMs)) return false;
    return !isCold(state, nowMs) || this.cold.allows(coldPerSecond, nowMs);
  }

  /** Whether the backend server holds the key of an order. */
  public isGranted({ request }: BackendRequest, state: ServerState): boolean {
    return holdsKey(state, request.key, this.options.elapsed.nowMs());
  }
}
