import { SlowStart } from '#admission/SlowStart.js';
import type { BackendFacts } from '#proxy/BackendFacts.js';
import type { BackendOutcome } from '#proxy/BackendOutcome.js';

/** Computes how many requests the local backend server may run, from its announced slots and its slow start. */
export class BackendCapacity {
  private slowStart = new SlowStart(1);
  private known: BackendFacts | undefined;

  /** The last announcement of the backend server; undefined while it is absent. */
  public get facts(): BackendFacts | undefined {
    return this.known;
  }

  /** Requests that may run at once; 1 while the backend server is absent, to find out whether it is back. */
  public get limit(): number {
    return this.known === undefined ? 1 : Math.min(this.known.slots, this.slowStart.limit);
  }

  public get slowStartState(): string {
    return this.slowStart.state;
  }

  /** Applies an announcement of the backend server, or its loss if `facts` is undefined. */
  public applyFacts(facts: BackendFacts | undefined, nowMs: number): void {
    const before = this.known;
    this.known = facts;
    if (facts === undefined) return;
    if (before === undefined) this.slowStart = new SlowStart(facts.slots);
    this.slowStart.announce(facts.incarnation, facts.slots, nowMs);
  }

  /** Notes the end of a request; `running` is the number of requests that ran at that time, including this one. */
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
