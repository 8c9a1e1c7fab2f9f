import { build, type Histogram } from 'hdr-histogram-js';
import { RandomSource } from '#core/RandomSource.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import { decideHedge } from '#balance/DecideHedge.js';
import { FifoServer } from '#balance/FifoServer.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import type { RequestFacts } from '#balance/RequestFacts.js';
import { RetryBudget } from '#balance/RetryBudget.js';
import type { StragglerResult } from '#balance/StragglerResult.js';
import type { StragglerSettings } from '#balance/StragglerSettings.js';

/** Step of the simulated time; completions are reported to the policies at the next step, in milliseconds. */
const STEP_MS = 0.1;

/** Interval at which the load of the servers is sampled for their reports, in milliseconds. */
const REPORT_INTERVAL_MS = 100;

const US_PER_MS = 1_000;

/** Maximum number of hedging requests, as a fraction of all requests. */
const HEDGE_FRACTION = 0.1;

const NO_SERVER = -1;

interface Daemon {
  readonly policy: BalancePolicy;
  readonly detector: OutlierDetector | undefined;
  readonly budget: RetryBudget;
}

/** A request whose first attempt takes longer than the 95th percentile. */
interface SlowRequest {
  readonly daemon: Daemon;
  readonly server: number;
  readonly sentMs: number;
  readonly finishMs: number;
  readonly p95Ms: number;
}

interface Completion {
  readonly daemon: Daemon;
  readonly server: number;
  readonly latencyMs: number;
}

/**
 * Simulates requests with exponential inter-arrival and service times to servers of which the first may be slowed. Load
 * reports lag, while completions are reported to the policies at once. Returns the latencies of the measured time.
 */
export function simulateStraggler(
  settings: StragglerSettings,
  createPolicy: () => BalancePolicy,
): StragglerResult {
  return new Simulation(settings, createPolicy).run();
}

class Simulation {
  private readonly settings: StragglerSettings;
  private readonly random: RandomSource;
  private readonly servers: readonly FifoServer[];
  private readonly daemons: readonly Daemon[];
  private readonly completions = new Map<number, readonly Completion[]>();
  private readonly slowRequests = new Map<number, readonly SlowRequest[]>();
  private readonly reports = new Map<number, readonly number[]>();
  private readonly histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private candidates: readonly Candidate[] = [];
  private readonly recentLatencies: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private p95Ms = Infinity;
  private firstServerCount = 0;
  private hedgedCount = 0;

  public constructor(settings: StragglerSettings, createPolicy: () => BalancePolicy) {
    this.settings = settings;
    this.random = new RandomSource(settings.seed);
    this.servers = Array.from({ length: settings.servers }, () => new FifoServer(settings.slots));
    this.daemons = Array.from({ length: settings.daemons }, () => ({
      policy: createPolicy(),
      detector: settings.ejects ? createDetector(settings.servers) : undefined,
      budget: new RetryBudget(HEDGE_FRACTION, 1),
    }));
  }

  public run(): StragglerResult {
    const { servers, slots, meanServiceMs, utilization, warmUpMs, measuredMs } = this.settings;
    const meanGapMs = meanServiceMs / (servers * slots * utilization);
    const endMs = warmUpMs + measuredMs;
    let arrivalMs = this.sampleExponential(meanGapMs);
    for (let step = 0; step * STEP_MS < endMs; step += 1) {
      if (step % (REPORT_INTERVAL_MS / STEP_MS) === 0) this.report(step * STEP_MS);
      this.complete(step);
      for (const request of this.slowRequests.get(step) ?? []) this.hedge(request, step * STEP_MS);
      this.slowRequests.delete(step);
      for (; arrivalMs < (step + 1) * STEP_MS; arrivalMs += this.sampleExponential(meanGapMs))
        this.arrive(arrivalMs);
    }
    return this.summarize();
  }

  private arrive(nowMs: number): void {
    const daemon = this.random.pick(this.daemons);
    if (daemon === undefined) return;
    daemon.budget.noteRequest('', '', nowMs);
    const server = this.choose(daemon, NO_SERVER, nowMs);
    const finishMs = this.send(daemon, server, nowMs);
    if (nowMs >= this.settings.warmUpMs && server === 0) this.firstServerCount += 1;
    const { p95Ms } = this;
    if (!this.settings.hedges || finishMs <= nowMs + p95Ms) {
      this.record(nowMs, finishMs);
      return;
    }
    const step = Math.ceil((nowMs + p95Ms) / STEP_MS);
    const request = { daemon, server, sentMs: nowMs, finishMs, p95Ms };
    this.slowRequests.set(step, [...(this.slowRequests.get(step) ?? []), request]);
  }

  /** Sends a second attempt if the budget allows it; the attempt that finishes first ends the request. */
  private hedge(request: SlowRequest, nowMs: number): void {
    const { daemon, sentMs, finishMs, p95Ms } = request;
    const facts = { team: '', class: '', repeatable: true, deadlineMs: Infinity, hedges: 0 };
    const { kind } = decideHedge({ ...facts, sentMs, p95Ms }, daemon.budget, nowMs);
    if (kind !== 'hedge') {
      this.record(sentMs, finishMs);
      return;
    }
    const server = this.choose(daemon, request.server, nowMs);
    if (sentMs >= this.settings.warmUpMs) this.hedgedCount += 1;
    this.record(sentMs, Math.min(finishMs, this.send(daemon, server, nowMs)));
  }

  /** Sends an attempt and returns the time at which it finishes. */
  private send(daemon: Daemon, server: number, nowMs: number): number {
    const { warmUpMs, meanServiceMs, slowdown } = this.settings;
    const factor = server === 0 && nowMs >= warmUpMs ? slowdown : 1;
    const serviceMs = this.sampleExponential(meanServiceMs) * factor;
    daemon.policy.noteStarted(String(server));
    const finishMs = this.servers[server]?.accept(nowMs, serviceMs) ?? nowMs;
    const step = Math.ceil(finishMs / STEP_MS);
    const completion = { daemon, server, latencyMs: finishMs - nowMs };
    this.completions.set(step, [...(this.completions.get(step) ?? []), completion]);
    return finishMs;
  }

  private record(sentMs: number, finishMs: number): void {
    if (sentMs >= this.settings.warmUpMs)
      this.histogram.recordValue(Math.round((finishMs - sentMs) * US_PER_MS));
  }

  private choose(daemon: Daemon, tried: number, nowMs: number): number {
    const trial = daemon.detector?.nextTrial(nowMs);
    if (trial !== undefined) return Number(trial);
    const excluded = new Set(daemon.detector?.excluded(nowMs)).add(String(tried));
    const facts: RequestFacts = { ...FACTS, excluded };
    return Number(daemon.policy.choose(this.candidates, facts, this.random, nowMs)?.serverId ?? 0);
  }

  private complete(step: number): void {
    const nowMs = step * STEP_MS;
    for (const { daemon, server, latencyMs } of this.completions.get(step) ?? []) {
      this.servers[server]?.finish();
      this.recentLatencies.recordValue(Math.round(latencyMs * US_PER_MS));
      daemon.policy.noteFinished(String(server), latencyMs, true, nowMs);
      daemon.detector?.observe(String(server), latencyMs, true, nowMs);
    }
    this.completions.delete(step);
  }

  /** Samples the loads, and reports the sample that is `reportLagMs` old to the policies. */
  private report(nowMs: number): void {
    const sample = Math.round(nowMs / REPORT_INTERVAL_MS);
    const lag = Math.round(this.settings.reportLagMs / REPORT_INTERVAL_MS);
    const loads = this.servers.map(({ load }) => load);
    this.reports.set(sample, loads);
    const reported = this.reports.get(sample - lag) ?? loads.map(() => 0);
    this.reports.delete(sample - lag);
    if (this.recentLatencies.totalCount > 0)
      this.p95Ms = this.recentLatencies.getValueAtPercentile(95) / US_PER_MS;
    const { slots } = this.settings;
    this.candidates = reported.map((reportedLoad, index) => ({
      ...PLACE,
      serverId: String(index),
      slots,
      share: 1,
      reportedLoad,
    }));
  }

  private sampleExponential(mean: number): number {
    return -mean * Math.log(1 - this.random.fraction() * (1 - Number.EPSILON));
  }

  private summarize(): StragglerResult {
    const requests = this.histogram.totalCount;
    const percentile = (value: number): number => this.histogram.getValueAtPercentile(value) / US_PER_MS;
    return {
      requests,
      p50Ms: percentile(50),
      p99Ms: percentile(99),
      p999Ms: percentile(99.9),
      firstServerFraction: this.firstServerCount / requests,
      hedgedFraction: this.hedgedCount / requests,
    };
  }
}

const PLACE = { region: 'r', failureDomain: 'f' };

const FACTS: RequestFacts = { ...PLACE, homeRegions: [], otherRegions: false, excluded: new Set() };

function createDetector(servers: number): OutlierDetector {
  const detector = new OutlierDetector();
  detector.setPool(Array.from({ length: servers }, (_, index) => String(index)));
  return detector;
}
