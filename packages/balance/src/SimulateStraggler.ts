import { build, type Histogram } from 'hdr-histogram-js';
import { RandomSource } from '#core/RandomSource.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import type { Candidate } from '#balance/Candidate.js';
import { FifoServer } from '#balance/FifoServer.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import type { RequestFacts } from '#balance/RequestFacts.js';
import type { StragglerResult } from '#balance/StragglerResult.js';
import type { StragglerSettings } from '#balance/StragglerSettings.js';

/** Step of the simulated time in which completions are reported to the policies, in milliseconds. */
const STEP_MS = 0.1;

/** Interval at which the load of the servers is sampled for their reports, in milliseconds. */
const REPORT_EVERY_MS = 100;

const US_PER_MS = 1_000;

interface Daemon {
  readonly policy: BalancePolicy;
  readonly detector: OutlierDetector | undefined;
}

interface Completion {
  readonly daemon: Daemon;
  readonly server: number;
  readonly latencyMs: number;
}

/**
 * Simulates requests with exponential inter-arrival and service times to servers of which the first may be slowed. The
 * load reports lag; the policies learn of completions as they happen. Returns the latencies of the measured time.
 */
export function simulateStraggler(
  settings: StragglerSettings,
  createPolicy: () => BalancePolicy,
  ejects: boolean,
): StragglerResult {
  return new Simulation(settings, createPolicy, ejects).run();
}

class Simulation {
  private readonly settings: StragglerSettings;
  private readonly random: RandomSource;
  private readonly servers: readonly FifoServer[];
  private readonly daemons: readonly Daemon[];
  private readonly completions = new Map<number, readonly Completion[]>();
  private readonly reports = new Map<number, readonly number[]>();
  private readonly histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private candidates: readonly Candidate[] = [];
  private toFirst = 0;

  public constructor(settings: StragglerSettings, createPolicy: () => BalancePolicy, ejects: boolean) {
    this.settings = settings;
    this.random = new RandomSource(settings.seed);
    this.servers = Array.from({ length: settings.servers }, () => new FifoServer(settings.slots));
    this.daemons = Array.from({ length: settings.daemons }, () => ({
      policy: createPolicy(),
      detector: ejects ? createDetector(settings.servers) : undefined,
    }));
  }

  public run(): StragglerResult {
    const { servers, slots, meanServiceMs, utilization, warmUpMs, measuredMs } = this.settings;
    const meanGapMs = meanServiceMs / (servers * slots * utilization);
    const endMs = warmUpMs + measuredMs;
    let arrivalMs = this.exponential(meanGapMs);
    for (let step = 0; step * STEP_MS < endMs; step += 1) {
      if (step % (REPORT_EVERY_MS / STEP_MS) === 0) this.report(step * STEP_MS);
      this.complete(step);
      for (; arrivalMs < (step + 1) * STEP_MS; arrivalMs += this.exponential(meanGapMs))
        this.arrive(arrivalMs);
    }
    return this.summarize();
  }

  private arrive(nowMs: number): void {
    const { warmUpMs, meanServiceMs, slowdown } = this.settings;
    const measured = nowMs >= warmUpMs;
    const daemon = this.random.pick(this.daemons);
    const serviceMs = this.exponential(meanServiceMs);
    if (daemon === undefined) return;
    const server = this.choose(daemon, nowMs);
    daemon.policy.started(String(server));
    const factor = server === 0 && measured ? slowdown : 1;
    const finishMs = this.servers[server]?.accept(nowMs, serviceMs * factor) ?? nowMs;
    const latencyMs = finishMs - nowMs;
    const step = Math.ceil(finishMs / STEP_MS);
    this.completions.set(step, [...(this.completions.get(step) ?? []), { daemon, server, latencyMs }]);
    if (!measured) return;
    this.histogram.recordValue(Math.round(latencyMs * US_PER_MS));
    if (server === 0) this.toFirst += 1;
  }

  private choose(daemon: Daemon, nowMs: number): number {
    const trial = daemon.detector?.nextTrial(nowMs);
    if (trial !== undefined) return Number(trial);
    const excluded = daemon.detector?.excluded(nowMs) ?? new Set<string>();
    const facts: RequestFacts = { ...FACTS, excluded };
    return Number(daemon.policy.choose(this.candidates, facts, this.random, nowMs)?.serverId ?? 0);
  }

  private complete(step: number): void {
    const nowMs = step * STEP_MS;
    for (const { daemon, server, latencyMs } of this.completions.get(step) ?? []) {
      this.servers[server]?.finish();
      daemon.policy.finished(String(server), latencyMs, true, nowMs);
      daemon.detector?.observe(String(server), latencyMs, true, nowMs);
    }
    this.completions.delete(step);
  }

  /** Samples the loads, and makes the sample that is `reportLagMs` old the reported one. */
  private report(nowMs: number): void {
    const sample = Math.round(nowMs / REPORT_EVERY_MS);
    const lag = Math.round(this.settings.reportLagMs / REPORT_EVERY_MS);
    const loads = this.servers.map(({ load }) => load);
    this.reports.set(sample, loads);
    const reported = this.reports.get(sample - lag) ?? loads.map(() => 0);
    this.reports.delete(sample - lag);
    const { slots } = this.settings;
    this.candidates = reported.map((reportedLoad, index) => ({
      ...PLACE,
      serverId: String(index),
      slots,
      share: 1,
      reportedLoad,
    }));
  }

  private exponential(mean: number): number {
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
      firstServerPart: this.toFirst / requests,
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
