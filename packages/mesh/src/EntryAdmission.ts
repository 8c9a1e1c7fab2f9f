import { LogSampler } from '#core/LogSampler.js';
import type { Logger } from '#core/Logger.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import { CallOrigin } from '#overload/CallOrigin.js';
import { decideEntry } from '#overload/DecideEntry.js';
import type { EntryDecision } from '#overload/EntryDecision.js';
import { KindShares } from '#overload/KindShares.js';
import { ReturnSchedule } from '#overload/ReturnSchedule.js';
import { ServiceOutlook } from '#overload/ServiceOutlook.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { MeshExchange } from '#mesh/MeshExchange.js';
import { responseMarginMs } from '#mesh/ResponseMarginMs.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { ShortRequestClassifier } from '#mesh/ShortRequestClassifier.js';

/** Service time that is assumed for the spread of returns before any report, in milliseconds. */
const INITIAL_SERVICE_MS = 40;

const UNAVAILABLE = 503;

const MAX_REFUSAL_LINES_PER_SECOND = 5;

interface ServiceState {
  readonly outlook: ServiceOutlook;
  readonly shares: KindShares;
  readonly returns: ReturnSchedule;
  readonly shortKinds: ShortRequestClassifier;
}

type Facts = Pick<MeshExchange, 'request' | 'route' | 'service' | 'isCall' | 'isShort' | 'arrivals'>;

/**
 * Admission of callers' requests at their entry daemon: refuses those for which no server of the service has room. Keeps
 * the outlook of each service.
 */
export class EntryAdmission {
  private readonly logger: Logger;
  private readonly metrics: MetricsRecorder;
  private readonly services = new Map<string, ServiceState>();
  private readonly origins = new CallOrigin();
  private readonly sampler = new LogSampler(MAX_REFUSAL_LINES_PER_SECOND);

  public constructor(logger: Logger, metrics: MetricsRecorder) {
    this.logger = logger;
    this.metrics = metrics;
  }

  /** Notes that a request arrived, and classifies it. */
  public noteArrival(
    request: CallerRequest,
    service: string,
    targetLatencyMs: number,
  ): Pick<MeshExchange, 'isCall' | 'isShort'> {
    return {
      isCall: this.origins.note(request.isFromOwnVm === true),
      isShort: this.find(service).shortKinds.note(targetLatencyMs),
    };
  }

  /** Decides whether a request may be sent to one of `candidates`. `daemons` is the number of entry daemons. */
  public decide(
    facts: Facts,
    candidates: readonly ServerEntry[],
    daemons: number,
    nowMs: number,
  ): EntryDecision<ServerEntry> {
    const { request, route, service } = facts;
    const { outlook, shares } = this.find(service);
    const { priority, targetLatencyMs } = route;
    // A repeat after a loss is not refused here, as its first attempt may have cost work.
    const isExempt = facts.isCall || facts.isShort || facts.arrivals > 0 || shares.isOwed(route.name);
    const targetMs = request.arrivedMs + targetLatencyMs - responseMarginMs;
    const decision = decideEntry(
      outlook,
      { priority, targetLatencyMs, targetMs, isExempt },
      candidates,
      nowMs,
    );
    if (decision.type === 'send') {
      if (decision.isProbe) this.metrics.count('entryProbes');
      return decision;
    }
    const retryAfterMs = this.scheduleReturn(service, candidates, daemons, decision.retryAfterMs, nowMs);
    this.noteRefusal(facts, candidates.length, decision.ageMs, retryAfterMs, nowMs);
    return { ...decision, retryAfterMs };
  }

  /** Notes that a request was sent to a server. */
  public noteSent(service: string, serverId: string): void {
    this.find(service).outlook.noteSent(serverId);
  }

  /** Notes the result of a request that was sent to a server. */
  public noteResult({ service, route }: Facts, serverId: string, result: BackendResult, nowMs: number): void {
    const { outlook } = this.find(service);
    if (result.load !== undefined) outlook.noteReport(serverId, result.load, nowMs);
    if (result.type !== 'refused') return;
    if (result.code === 'displaced') this.metrics.count('displaced');
    if (result.code === 'full' || result.code === 'displaced')
      outlook.noteFull(serverId, route, result.retryAfterMs, nowMs);
  }

  /** Counts whether a refused caller gets a time to return. */
  public noteReply(reply: CallerReply): void {
    if (reply.type === 'refusal' && reply.status === UNAVAILABLE)
      this.metrics.count(reply.retryAfterMs > 0 ? 'returnsScheduled' : 'returnsUnscheduled');
  }

  /** Notes the end of a request. */
  public noteEnded({ service, route }: Facts, outcome: Outcome, nowMs: number): void {
    if (outcome === 'abandoned') return;
    this.find(service).shares.note(route.name, outcome === 'delivered' || outcome === 'late', nowMs);
  }

  /** Forgets all servers except the given ones, and the services without any. */
  public retain(servers: ReadonlyMap<string, ServerEntry>): void {
    const services = new Set([...servers.values()].map(({ service }) => service));
    const serverIds = new Set(servers.keys());
    for (const [service, { outlook }] of this.services) {
      if (services.has(service)) outlook.retain(serverIds);
      else this.services.delete(service);
    }
  }

  /** Each daemon returns callers at the rate of its share of the capacity. */
  private scheduleReturn(
    service: string,
    candidates: readonly ServerEntry[],
    daemons: number,
    earliestMs: number,
    nowMs: number,
  ): number {
    const { outlook, returns } = this.find(service);
    const slots = candidates.reduce((sum, each) => sum + each.slots, 0);
    const workMs = ((outlook.serviceMs ?? INITIAL_SERVICE_MS) * Math.max(1, daemons)) / Math.max(1, slots);
    return returns.reserve(nowMs, workMs, nowMs + earliestMs) ?? 0;
  }

  private noteRefusal(
    { request, route, service }: Facts,
    servers: number,
    ageMs: number,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    this.metrics.count('entryRefused');
    this.metrics.setGauge('outlookAgeMs', Math.round(ageMs));
    const omitted = this.sampler.admit(nowMs);
    if (omitted === undefined) return;
    this.logger.log('refusedAtEntry', {
      step: 'admit',
      id: request.id,
      service,
      route: route.name,
      servers,
      outlookAgeMs: Math.round(ageMs),
      retryAfterMs: Math.round(retryAfterMs),
      omitted,
    });
  }

  private find(service: string): ServiceState {
    const found = this.services.get(service);
    if (found !== undefined) return found;
    const created = {
      outlook: new ServiceOutlook(),
      shares: new KindShares(),
      returns: new ReturnSchedule(),
      shortKinds: new ShortRequestClassifier(),
    };
    this.services.set(service, created);
    return created;
  }
}
