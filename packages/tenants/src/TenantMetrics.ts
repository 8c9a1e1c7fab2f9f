import type { Outcome } from '#delivery/Outcome.js';
import { formatBuckets } from '#metrics/FormatBuckets.js';
import { otherLabel } from '#metrics/OtherLabel.js';
import { outcomes } from '#metrics/Outcomes.js';
import { Series } from '#metrics/Series.js';

/** A series takes at most about 40 kB; see `defaultMetricsLimits`. */
const MAX_NAMED_TENANTS = 32;

const MICROS_PER_MS = 1_000;

const REQUESTS = 'amaranthrouter_tenant_requests_total';
const SECONDS = 'amaranthrouter_tenant_seconds';
const OVER_QUOTA = 'amaranthrouter_tenant_over_quota_total';
const UNAUTHORIZED = 'amaranthrouter_unauthorized_total';

/** Metrics of one tenant. */
class TenantSeries {
  public readonly series = new Series();
  public overQuota = 0;
}

/**
 * Counters and histograms of the requests of each tenant. Tenants beyond the first 32 that are in the configuration are
 * counted as `other`; those that are removed from the configuration are added to it, so that totals stay correct.
 */
export class TenantMetrics {
  private readonly named = new Map<string, TenantSeries>();
  private readonly other = new TenantSeries();
  private unauthorized = 0;

  /** Counts the end of a request, and its duration in milliseconds. */
  public countEnd(tenant: string, outcome: Outcome, tookMs: number): void {
    const { series } = this.find(tenant);
    series.count(outcome, 1);
    series.record('whole', Math.round(tookMs * MICROS_PER_MS));
  }

  /** Counts a request that was refused because its tenant exceeds its rate limit. */
  public countOverQuota(tenant: string): void {
    this.find(tenant).overQuota += 1;
  }

  /** Counts a request without a known key. */
  public countUnauthorized(): void {
    this.unauthorized += 1;
  }

  /** Adds the series of tenants that are no longer configured to `other`. */
  public retain(tenants: ReadonlyMap<string, unknown>): void {
    for (const [name, each] of this.named) {
      if (tenants.has(name)) continue;
      this.other.series.add(each.series);
      this.other.overQuota += each.overQuota;
      this.named.delete(name);
    }
  }

  /** Formats the metrics in the Prometheus text format; empty if there were no tenants. */
  public format(): string {
    const rows = [...this.named, [otherLabel, this.other] as const].map(([name, { series, overQuota }]) => ({
      label: `tenant="${escapeLabel(name)}"`,
      snapshot: series.snapshot(name, '', false),
      overQuota,
    }));
    const used = rows.filter(({ snapshot }) => Object.keys(snapshot.outcomes).length > 0);
    if (used.length === 0 && this.unauthorized === 0) return '';
    const counts = used.flatMap(({ label, snapshot }) =>
      outcomes
        .filter((outcome) => snapshot.outcomes[outcome] !== undefined)
        .map((outcome) => `${REQUESTS}{${label},outcome="${outcome}"} ${snapshot.outcomes[outcome] ?? 0}`),
    );
    const histograms = used.flatMap(({ label, snapshot: { buckets } }) =>
      buckets.whole === undefined ? [] : formatBuckets(SECONDS, label, buckets.whole),
    );
    const lines = [
      `# TYPE ${REQUESTS} counter`,
      ...counts,
      `# TYPE ${SECONDS} histogram`,
      ...histograms,
      `# TYPE ${OVER_QUOTA} counter`,
      ...used.map(({ label, overQuota }) => `${OVER_QUOTA}{${label}} ${overQuota}`),
      `# TYPE ${UNAUTHORIZED} counter`,
      `${UNAUTHORIZED} ${this.unauthorized}`,
    ];
    return `${lines.join('\n')}\n`;
  }

  private find(tenant: string): TenantSeries {
    const known = this.named.get(tenant);
    if (known !== undefined) return known;
    // A tenant whose name is the label of the remaining ones shares their series, as names of series are unique.
    if (tenant === otherLabel || this.named.size >= MAX_NAMED_TENANTS) return this.other;
    const added = new TenantSeries();
    this.named.set(tenant, added);
    return added;
  }
}

function escapeLabel(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('"', '\\"');
}
