import type { Tenant } from '#routes/Tenant.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import type { QuotaMember } from '#tenants/QuotaMember.js';

/** Requests, state changes and calls that `QuotaTask` handles. */
export type QuotaMessage =
  | {
      readonly type: 'admit';
      readonly tenant: Tenant;
      readonly decide: (decision: QuotaDecision) => void;
    }
  /** The daemons of the view. */
  | { readonly type: 'members'; readonly members: readonly QuotaMember[] }
  | { readonly type: 'tenants'; readonly tenants: ReadonlyMap<string, Tenant> }
  /** A `quota` call of another daemon. */
  | { readonly type: 'asked'; readonly value: unknown; readonly reply: (result: unknown) => void }
  /** Reply to a `quota` call of this daemon; undefined if the other cannot be reached. */
  | {
      readonly type: 'answered';
      readonly serverId: string;
      readonly call: number;
      readonly value: unknown;
    };
