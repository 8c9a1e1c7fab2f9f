import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import type { ReRegisterReason } from '#lease/ReRegisterReason.js';

/** Input of `planRegistration`: why a daemon joins a cell or renews its entry, and with which facts. */
export interface RegistrationRequest {
  readonly facts: MemberFacts;
  /** Whether this process was a member before. */
  readonly wasMember: boolean;
  /** A leaving daemon keeps its lease until its shards have moved, but doesn't join again. */
  readonly isLeaving: boolean;
  /** `join` for the first entry, `witnesses` if a better set of witnesses may exist. */
  readonly reason: ReRegisterReason | 'join' | 'witnesses';
  readonly silentWitnesses: readonly string[];
  readonly placements: readonly string[];
  readonly options: AssignOptions;
}
