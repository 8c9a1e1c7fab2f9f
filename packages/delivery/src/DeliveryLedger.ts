import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import type { DeliveryMismatch } from '#delivery/DeliveryMismatch.js';
import type { Outcome } from '#delivery/Outcome.js';

/** Bounds the rows; requests of further teams and classes are counted together in a row named `other`. */
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
 * Counts requests and their outcomes by team and class. Each request is counted once by `countArrival` and once by
 * `countOutcome`. A request that is refused after its admission also counts as `refused`, and no longer as admitted.
 */
export class DeliveryLedger {
  private readonly rows = new Map<string, Row>();

  /** Counts the arrival of a request. */
  public countArrival(team: string, requestClass: string): void {
    this.findRow(team, requestClass).received += 1;
  }

  /** Counts the outcome of a request that ended. */
  public countOutcome(team: string, requestClass: string, outcome: Outcome): void {
    this.findRow(team, requestClass).outcomes[outcome] += 1;
  }

  /** Returns the counts of all teams and classes. */
  public counts(): readonly DeliveryCounts[] {
    return [...this.rows.values()].map(summarize);
  }

  /**
   * Checks that admitted = delivered + late + partial + sentUnconfirmed + abandoned + failed + unknown + in flight, and
   * returns the rows for which it is false. `inFlight` is the actual number of open requests by `rowKey(team, class)`.
   * Without it, only rows with more outcomes than arrivals are found.
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

  /** Returns the key of a team and class in the argument of `reconcile`. */
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
