import { QuotaClient } from '#admission/QuotaClient.js';
import type { TokenGrant } from '#admission/TokenGrant.js';
import type { Cancel } from '#core/Cancel.js';
import { Task } from '#core/Task.js';
import type { Tenant } from '#routes/Tenant.js';
import { HolderHistory } from '#tenants/HolderHistory.js';
import { isLimited } from '#tenants/IsLimited.js';
import { maxQuotaTenants } from '#tenants/MaxQuotaTenants.js';
import { maxViewAgeMs } from '#tenants/MaxViewAgeMs.js';
import { quotaCallCodec } from '#tenants/QuotaCallCodec.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import { QuotaHolding } from '#tenants/QuotaHolding.js';
import { QuotaLink } from '#tenants/QuotaLink.js';
import type { QuotaMember } from '#tenants/QuotaMember.js';
import type { QuotaMessage } from '#tenants/QuotaMessage.js';
import { quotaReplyCodec } from '#tenants/QuotaReplyCodec.js';
import type { QuotaTaskOptions } from '#tenants/QuotaTaskOptions.js';
import { tenantQuotaSettings } from '#tenants/TenantQuotaSettings.js';
import { TenantShare } from '#tenants/TenantShare.js';

interface Tick {
  readonly type: 'tick';
}

type QuotaCall = ReturnType<typeof quotaCallCodec.unsafeDecode>;
type QuotaReply = ReturnType<typeof quotaReplyCodec.unsafeDecode>;

/**
 * Enforces the rate limits of tenants over all daemons: decides on requests by the tokens that this daemon has, obtains
 * tokens from the holders of the quotas, and grants those that this daemon holds. Without requests of limited tenants it
 * sends no message and has no timer.
 */
export class QuotaTask extends Task<QuotaMessage | Tick> {
  private readonly options: QuotaTaskOptions;
  private readonly client: QuotaClient;
  private readonly history = new HolderHistory();
  private readonly holding: QuotaHolding;
  private readonly shares = new Map<string, TenantShare>();
  private readonly links = new Map<string, QuotaLink>();
  /** Holders that could not be reached last. */
  private readonly lost = new Set<string>();
  private members: ReadonlyMap<string, QuotaMember> = new Map();
  private nextCall = 1;
  private timerMs = Infinity;
  private cancelTimer: Cancel = () => undefined;

  public constructor(options: QuotaTaskOptions) {
    super();
    this.options = options;
    this.client = new QuotaClient(tenantQuotaSettings, `${options.serverId}/${options.processId}`);
    this.holding = new QuotaHolding({
      serverId: options.serverId,
      history: this.history,
      logger: options.logger,
      askToYield: (serverId, tenant) => this.call(serverId, { ...this.createCall([]), yields: [tenant] }, 0),
    });
  }

  public override stop(): void {
    super.stop();
    this.cancelTimer();
  }

  protected override receive(message: QuotaMessage | Tick): void {
    switch (message.type) {
      case 'admit':
        this.admit(message.tenant, message.decide);
        return;
      case 'members':
        this.noteMembers(message.members);
        return;
      case 'tenants':
        this.noteTenants(message.tenants);
        return;
      case 'asked':
        message.reply(this.answer(message.value));
        return;
      case 'answered':
        this.noteReply(message.serverId, message.call, message.value);
        return;
      case 'tick':
        this.timerMs = Infinity;
        this.checkAll();
    }
  }

  private admit(tenant: Tenant, decide: (decision: QuotaDecision) => void): void {
    const share = this.shares.get(tenant.name) ?? new TenantShare(this.client, tenant);
    this.shares.set(tenant.name, share);
    share.update(tenant);
    share.admit(decide, this.now());
    this.sendIfDue(tenant.name, share);
  }

  private noteMembers(members: readonly QuotaMember[]): void {
    const isFirst = this.members.size === 0;
    const nowMs = this.now();
    this.members = new Map(members.map((each) => [each.serverId, each]));
    const own = this.members.get(this.options.serverId);
    // An entry of a former run shows that this daemon was in the views of all others before.
    const wasMember = isFirst && own !== undefined && own.processId !== this.options.processId;
    if (!this.history.note([...this.members.keys()], wasMember ? nowMs - maxViewAgeMs : nowMs)) return;
    for (const serverId of this.links.keys()) if (!this.members.has(serverId)) this.links.delete(serverId);
    for (const serverId of this.lost) if (!this.members.has(serverId)) this.lost.delete(serverId);
    const rank = this.history.serverIds.indexOf(this.options.serverId);
    this.client.setPosition(rank, rank < 0 ? 0 : this.members.size, nowMs);
    this.holding.dropLost();
    if (this.shares.size > 0) this.checkAll();
  }

  private noteTenants(tenants: ReadonlyMap<string, Tenant>): void {
    this.history.clearHolders();
    this.holding.setTenants(tenants);
    for (const [name, share] of this.shares) {
      const tenant = tenants.get(name);
      if (isLimited(tenant)) share.update(tenant);
      else if (share.isIdle(this.now())) this.shares.delete(name);
    }
    this.client.retain(new Set(this.shares.keys()));
  }

  /** Sends the token requests of a holder if one of its tenants needs tokens, and sets the timer. */
  private sendIfDue(tenant: string, share: TenantShare): void {
    const nowMs = this.now();
    const serverId = this.history.findHolder(tenant);
    if (serverId !== undefined && share.neededTokens(nowMs) !== undefined) {
      const link = this.findLink(serverId);
      if (link.isFree(nowMs)) this.send(serverId, link);
      else this.wakeAt(link.nextMs);
    }
    this.wakeAt(share.nextDueMs(nowMs));
  }

  private send(serverId: string, link: QuotaLink): void {
    const nowMs = this.now();
    const due = [...this.shares].flatMap(([name, share]) => {
      const tokens = this.history.findHolder(name) === serverId ? share.neededTokens(nowMs) : undefined;
      return tokens === undefined ? [] : [{ name, share, tokens }];
    });
    const requests = due.slice(0, maxQuotaTenants).map(({ name, share, tokens }) => {
      const { applied, held, returned } = share.createRequest(tokens, nowMs);
      return { tenant: name, applied, left: held.burst, tokens, returned };
    });
    const call = this.nextCall;
    this.nextCall += 1;
    const tenants = requests.map(({ tenant }) => tenant);
    link.noteSent(call, tenants, nowMs);
    this.wakeAt(link.nextMs);
    this.call(serverId, this.createCall(requests), call);
  }

  /** `call` is the number of a call with token requests; 0 for others. */
  private call(serverId: string, params: QuotaCall, call: number): void {
    const reply = (value: unknown): void => this.post({ type: 'answered', serverId, call, value });
    const address = this.members.get(serverId)?.address;
    if (serverId === this.options.serverId) reply(this.answer(params));
    else if (address === undefined) reply(undefined);
    else this.options.call(address, params, reply);
  }

  private createCall(requests: QuotaCall['requests']): QuotaCall {
    const client = `${this.options.serverId}/${this.options.processId}`;
    return { client, sentMs: this.now(), requests, yields: [] };
  }

  /** Answers a call of this or another daemon; undefined if it is malformed. */
  private answer(value: unknown): QuotaReply | undefined {
    const nowMs = this.now();
    return quotaCallCodec.decode(value).caseOf({
      Left: (message) => {
        this.options.logger.log('quotaCallMalformed', { step: 'admit', message });
        return undefined;
      },
      Right: ({ client, sentMs, requests, yields }) => {
        for (const tenant of yields) this.holding.yield(tenant, nowMs);
        const grants = requests.flatMap(({ tenant, applied, left, tokens, returned }) => {
          const held = { ratePerSecond: 0, burst: left, concurrency: 0 };
          const demand = { ratePerSecond: 0, concurrency: 0, inFlight: 0 };
          const request = { entry: tenant, client, applied, held, ...demand, sentMs, tokens, returned };
          const grant = this.holding.grant(request, nowMs);
          return grant === undefined ? [] : [encodeGrant(grant)];
        });
        return { grants, yielded: yields };
      },
    });
  }

  private noteReply(serverId: string, call: number, value: unknown): void {
    const nowMs = this.now();
    const reply = quotaReplyCodec.decode(value).toMaybe().extract();
    for (const tenant of reply?.yielded ?? []) this.holding.noteYielded(serverId, tenant, nowMs);
    const link = this.links.get(serverId);
    const tenants = link?.end(call);
    if (link === undefined || tenants === undefined) return;
    this.noteContact(serverId, reply !== undefined);
    const sentMs = link.lastSentMs;
    const grants = new Map(reply?.grants.map((each) => [each.tenant, each]));
    for (const name of tenants) {
      const share = this.shares.get(name);
      // Grants of a daemon that is no longer the holder are not used: a daemon accepts those of one holder at a time.
      const isHolder = this.history.findHolder(name) === serverId;
      const grant = isHolder ? grants.get(name) : undefined;
      share?.noteReply(grant && decodeGrant(grant, sentMs), nowMs);
      if (share !== undefined) this.sendIfDue(name, share);
    }
  }

  private noteContact(serverId: string, isReached: boolean): void {
    if (isReached === !this.lost.has(serverId)) return;
    if (isReached) this.lost.delete(serverId);
    else this.lost.add(serverId);
    const event = isReached ? 'quotaHolderRegained' : 'quotaHolderLost';
    this.options.logger.log(event, { step: 'admit', peer: serverId });
  }

  /** Ends calls without a reply, refuses requests whose wait has ended, and sends what is due. */
  private checkAll(): void {
    const nowMs = this.now();
    for (const [serverId, link] of this.links) {
      const expired = link.findExpired(nowMs);
      if (expired !== undefined) this.noteReply(serverId, expired, undefined);
    }
    for (const [name, share] of this.shares) {
      share.expireWaiting(nowMs);
      this.sendIfDue(name, share);
      if (share.isIdle(nowMs)) this.shares.delete(name);
    }
  }

  private findLink(serverId: string): QuotaLink {
    const link = this.links.get(serverId) ?? new QuotaLink(serverId === this.options.serverId);
    this.links.set(serverId, link);
    return link;
  }

  private wakeAt(timeMs: number): void {
    if (timeMs >= this.timerMs) return;
    this.cancelTimer();
    this.timerMs = timeMs;
    const delayMs = Math.max(1, timeMs - this.now());
    this.cancelTimer = this.options.clock.schedule(delayMs, () => this.post({ type: 'tick' }));
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

function encodeGrant(grant: TokenGrant): QuotaReply['grants'][number] {
  const { entry, number, burst, tokens, sliceMs, readyInMs } = grant;
  return { tenant: entry, number, burst, tokens, grantMs: sliceMs, readyInMs };
}

/** `sentMs` is the time of the request; the grant lasts from then on. */
function decodeGrant(grant: QuotaReply['grants'][number], sentMs: number): TokenGrant {
  const { tenant, number, burst, tokens, grantMs, readyInMs } = grant;
  const part = { ratePerSecond: 0, burst, concurrency: 1 };
  return { entry: tenant, number, ...part, tokens, sentMs, sliceMs: grantMs, readyInMs };
}
