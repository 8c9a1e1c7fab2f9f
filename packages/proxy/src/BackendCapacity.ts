import { SlowStart } from '#admission/SlowStart.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';

/** How many orders the backend server beside this daemon may run: its slots, and its slow start. */
export class BackendCapacity {
  private slowStart = new SlowStart(1);
  private known: BackendFacts | undefined;

  /** Last announcement; undefined without a backend server. */
  public get facts(): BackendFacts | undefined {
    return this.known;
  }

  /** Orders that may run at once; a single one finds out whether an absent backend server is back. */
  public get limit(): number {
    return this.known === undefined ? 1 : Math.min(this.known.slots, this.slowStart.limit);
  }

  public get slowStartState(): string {
    return this.slowStart.state;
  }

  /** Applies an announcement, or the loss of the backend server. */
  public applyFacts(facts: BackendFacts | undefined, nowMs: number): void {
    const before = this.known;
    this.known = facts;
    if (facts === undefined) return;
    if (before === undefined) this.slowStart = new SlowStart(facts.slots);
    this.slowStart.announce(facts.incarnation, facts.slots, nowMs);
  }

  /** Notes the end of an order; `running` counts the orders that ran then, with this one. */
  public observe({ kind, serviceMs }: BackendOutcome, running: number, nowMs: number): void {
    this.slowStart.observe(
      { kind: toSampleKind(kind), startedMs: nowMs - serviceMs, latencyMs: serviceMs, running },
      nowMs,
    );
  }
}

function toSampleKind(kind: BackendOutcome['kind']): 'answered' | 'shed' | 'refused' | 'failed' {
  if (kind === 'answered' || kind === 'shed') return kind;
  return kind === 'unreachable' ? 'refused' : 'failed';
}
