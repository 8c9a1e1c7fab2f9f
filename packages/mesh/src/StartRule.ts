import { ColdStartLimit } from '#mesh/ColdStartLimit.js';
import { hasToEnd } from '#mesh/HasToEnd.js';
import { holdsKey } from '#mesh/HoldsKey.js';
import { isCold } from '#mesh/IsCold.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { QueuedBackendRequest } from '#mesh/QueuedBackendRequest.js';
import type { ServerOptions } from '#mesh/ServerOptions.js';
import type { ServerState } from '#mesh/ServerState.js';
import { ShortRequestClassifier } from '#mesh/ShortRequestClassifier.js';

/** Time after a short request in which one slot is reserved for short requests, in milliseconds. */
const SHORT_RESERVATION_MS = 5_000;

/** Decides which queued requests may start now. Times are monotonic, in milliseconds. */
export class StartRule {
  private readonly options: ServerOptions;
  private readonly shortKinds = new ShortRequestClassifier();
  private readonly coldStartLimit = new ColdStartLimit();
  private shortUntilMs = 0;

  public constructor(options: ServerOptions) {
    this.options = options;
  }

  /** Notes that a request arrived, and returns whether it is short. */
  public noteArrival(request: BackendRequest, nowMs: number): boolean {
    const isShort = this.shortKinds.note(request.targetLatencyMs);
    if (isShort) this.shortUntilMs = nowMs + SHORT_RESERVATION_MS;
    return isShort;
  }

  /** Notes that a request starts. */
  public noteStart(nowMs: number): void {
    this.coldStartLimit.note(nowMs);
  }

  /** Whether a request may start while `running` others are in progress. */
  public allows(
    { request, isShort }: QueuedBackendRequest,
    state: ServerState,
    running: number,
    nowMs: number,
  ): boolean {
    const { presence, keyed, coldPerSecond } = state;
    const reservesSlot = !isShort && nowMs < this.shortUntilMs && presence.slots > 2;
    if (running >= presence.slots - (reservesSlot ? 1 : 0)) return false;
    if (keyed && !this.isGranted(request, state)) return false;
    if (hasToEnd(state, this.options, nowMs)) return false;
    return !isCold(state, nowMs) || this.coldStartLimit.allows(coldPerSecond, nowMs);
  }

  /** Whether the key of a request is granted to the backend server. */
  public isGranted({ callerRequest }: BackendRequest, state: ServerState): boolean {
    return holdsKey(state, callerRequest.key, this.options.elapsed.nowMs());
  }
}
