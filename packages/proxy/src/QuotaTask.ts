import type { QuotaRequest } from '#admission/QuotaRequest.js';
import { QuotaHolder } from '#admission/QuotaHolder.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { CatalogueIndex } from '#catalogue/CatalogueIndex.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { Clock } from '#core/Clock.js';
import { Task } from '#core/Task.js';
import { findEntryByKey } from '#proxy/FindEntryByKey.js';
import { formatQuotaKey } from '#proxy/FormatQuotaKey.js';
import { OwnershipView } from '#proxy/OwnershipView.js';
import { quotaConstants } from '#proxy/QuotaConstants.js';
import type { QuotaMessage } from '#proxy/QuotaMessage.js';

/** Time for which a new holder drops quota requests, since they may have been sent before it became the holder. */
const MAX_REQUEST_DELAY_MS = 250;

/** A shard that this daemon owns, with the quota holder for the entries whose quota keys are in it. */
interface HeldShard {
  readonly token: number;
  /** Start of the ownership on the monotonic clock; minus infinity if no earlier grants can exist. */
  readonly sinceMs: number;
  readonly holder: QuotaHolder;
}

/** Token of a shard that was assigned by the first write of its cell, so that no other daemon has owned it before. */
const FIRST_TOKEN = 1;

/** Divides the fleet-wide limits of the entries whose quota keys this daemon owns. */
export class QuotaTask extends Task<QuotaMessage> {
  private readonly ownership: OwnershipView;
  private index: CatalogueIndex | undefined;
  private held: ReadonlyMap<string, HeldShard> = new Map();
  /** Shards that this daemon has ever owned; grants from an earlier ownership may still be in use. */
  private readonly heldBefore = new Set<string>();

  public constructor(private readonly clock: Clock) {
    super();
    this.ownership = new OwnershipView(clock);
  }

  protected override receive(message: QuotaMessage): void {
    switch (message.type) {
      case 'catalogue':
        this.index = indexCatalogue(message.catalogue);
        break;
      case 'cell':
        this.ownership.setCell(message.cell);
        break;
      case 'ownership':
        this.applyOwnership(message);
        break;
      case 'ask':
        message.reply(this.grant(message.ask));
        break;
    }
  }

  /** Replaces the holder of a shard if its token changed, since another daemon may have granted quota in between. */
  private applyOwnership(update: OwnershipUpdate): void {
    const isSameMap = update.shards === this.ownership.current.shards;
    this.ownership.set(update);
    if (isSameMap) return;
    const nowMs = this.clock.monotonicMs();
    const hold = (shardId: string, token: number): HeldShard => {
      const isFirst = token === FIRST_TOKEN && !this.heldBefore.has(shardId);
      const sinceMs = isFirst ? Number.NEGATIVE_INFINITY : nowMs;
      this.heldBefore.add(shardId);
      return { token, sinceMs, holder: new QuotaHolder(quotaConstants, sinceMs) };
    };
    this.held = new Map(
      [...update.shards].map(([shardId, { token }]) => {
        const known = this.held.get(shardId);
        return [shardId, known?.token === token ? known : hold(shardId, token)];
      }),
    );
  }

  private grant(request: QuotaRequest): QuotaGrant | undefined {
    const entry = findEntryByKey(this.index, request.entry);
    if (entry === undefined) return undefined;
    const shard = this.ownership.findUsable(entry.service, entry.homeRegions, formatQuotaKey(request.entry));
    const held = this.held.get(shard?.shardId ?? '');
    const nowMs = this.clock.monotonicMs();
    if (held === undefined || nowMs < held.sinceMs + MAX_REQUEST_DELAY_MS) return undefined;
    return held.holder.grant(request, entry.limits, nowMs);
  }
}
