import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import type { DeliveryMismatch } from '#delivery/DeliveryMismatch.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Rows kept at most; the requests of further teams and classes are counted together in one row named `other`. */
const MAX_ROWS = 10_000;

class Row {
  public readonly team: string;
  public readonly class: string;
  public received = 0;
  public readonly outcomes: Record<Outcome, number> = {
    delivered: 0,
    late: 0,
    partial: 0,
    sentUnconfirmed: 0,
    abandoned: 0,
    refused: 0,
    failed: 0,
    unknown: 0,
  };

  public constructor(team: string, requestClass: string) {
    this.team = team;
    this.class = requestClass;
  }
}

/**
 * Counts requests and their outcomes per team and class. Each request is counted by one `begin` and one `end`.
 * A request that is refused after its admission also ends as `refused`, and no longer counts as admitted.
 */
export class DeliveryLedger {
  private readonly rows = new Map<string, Row>();

  /** Counts a request that arrived. */
  public countArrival(team: string, requestClass: string): void {
    this.findRow(team, requestClass).received += 1;
  }

  /** Counts the end of a request. */
  public countOutcome(team: string, requestClass: string, outcome: Outcome): void {
    this.findRow(team, requestClass).outcomes[outcome] += 1;
  }

  /** Returns the counts of all teams and classes. */
  public counts(): readonly DeliveryCounts[] {
    return [...this.rows.values()].map(summarize);
  }

  /**
   * Checks that admitted = delivered + late + partial + sentUnconfirmed + abandoned + failed + unknown + in flight.
   * `inFlight` holds the requests that the caller has open, by `rowKey(team, class)`; without it, only counts that end
   * more requests than arrived are found.
   */
  public reconcile(inFlight?: ReadonlyMap<string, number>): readonly DeliveryMismatch[] {
    return [...this.rows.entries()].flatMap(([key, row]) => {
      const counted = summarize(row).inFlight;
      const actual = inFlight === undefined ? Math.max(0, counted) : (inFlight.get(key) ?? 0);
      return counted === actual ? [] : [{ team: row.team, class: row.class, counted, actual }];
    });
  }

  private findRow(team: string, requestClass: string): Row {
    const key = DeliveryLedger.rowKey(team, requestClass);
    const row = this.rows.get(key);
    if (row !== undefined) return row;
    if (this.rows.size >= MAX_ROWS && team !== 'other') return this.findRow('other', 'other');
    const added = new Row(team, requestClass);
    this.rows.set(key, added);
    return added;
  }

  /** Key of a team and class in the argument of `reconcile`. */
  public static rowKey(team: string, requestClass: string): string {
    return `${team}\n${requestClass}`;
  }
}

function summarize(row: Row): DeliveryCounts {
  const { refused } = row.outcomes;
  const ended = Object.values(row.outcomes).reduce((sum, count) => sum + count, 0);
  return {
    team: row.team,
    class: row.class,
    received: row.received,
    admitted: row.received - refused,
    inFlight: row.received - ended,
    outcomes: { ...row.outcomes },
  };
}
