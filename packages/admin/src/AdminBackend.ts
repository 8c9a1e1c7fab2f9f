import type { Either } from 'purify-ts';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { Member } from '#assignment/Member.js';
import type { MetricsSnapshot } from '#metrics/MetricsSnapshot.js';
import type { Withdrawal } from '#control/Withdrawal.js';
import type { CatalogueWrite } from '#admin/CatalogueWrite.js';
import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { DrainProgress } from '#admin/DrainProgress.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import type { ExplainedDaemon } from '#admin/ExplainedDaemon.js';
import type { HeldRequest } from '#admin/HeldRequest.js';
import type { HistoryItem } from '#admin/HistoryItem.js';
import type { HotKey } from '#admin/HotKey.js';
import type { IntentWrite } from '#admin/IntentWrite.js';
import type { KeyOwner } from '#admin/KeyOwner.js';
import type { KeyOwnerQuery } from '#admin/KeyOwnerQuery.js';
import type { MemberFilter } from '#admin/MemberFilter.js';
import type { MetricsScope } from '#admin/MetricsScope.js';
import type { Page } from '#admin/Page.js';
import type { PageRequest } from '#admin/PageRequest.js';
import type { Propagation } from '#admin/Propagation.js';
import type { ShardMove } from '#admin/ShardMove.js';
import type { VersionedIntent } from '#admin/VersionedIntent.js';
import type { WriteConflict } from '#admin/WriteConflict.js';

/**
 * The operations of the daemon that the administration API uses. Methods reject with a `RouterError`, for example with
 * status 503 and step `store` while the store cannot be reached. A write resolves only when its outcome is known.
 */
export abstract class AdminBackend {
  /** Returns the catalogue in force on this daemon, without a store call; `undefined` before the first one. */
  public abstract readCatalogueInForce(): Promise<VersionedCatalogue | undefined>;

  /** Reads the newest catalogue from the store; `undefined` if there is none. */
  public abstract readCatalogue(): Promise<VersionedCatalogue | undefined>;

  /** Replaces the catalogue if its version is still the expected one. */
  public abstract writeCatalogue(write: CatalogueWrite): Promise<Either<WriteConflict, VersionedCatalogue>>;

  /** Lists the versions of the catalogue, newest first. */
  public abstract listHistory(page: PageRequest): Promise<Page<HistoryItem>>;

  /** Reads a version of the catalogue; `undefined` if it is not in the history. */
  public abstract readHistory(version: number): Promise<VersionedCatalogue | undefined>;

  /** Reads the newest operator intent from the store. */
  public abstract readIntent(): Promise<VersionedIntent>;

  /** Replaces the operator intent if its version is still the expected one. */
  public abstract writeIntent(write: IntentWrite): Promise<Either<WriteConflict, VersionedIntent>>;

  /** Returns how much of a withdrawn failure domain, VM or server is still in use. */
  public abstract readDrainProgress(kind: Withdrawal['kind'], name: string): Promise<DrainProgress>;

  /** Returns which daemons have the newest versions in force. */
  public abstract readPropagation(page: PageRequest): Promise<Propagation>;

  /** Lists the members of all cells that match a filter. */
  public abstract listMembers(filter: MemberFilter, page: PageRequest): Promise<Page<Member>>;

  /** Finds the owner of a key in each placement of the query. */
  public abstract findOwners(query: KeyOwnerQuery): Promise<readonly KeyOwner[]>;

  /** Lists the hot keys of all cells with their request rates. */
  public abstract listHotKeys(page: PageRequest): Promise<Page<HotKey>>;

  /** Lists the planned moves in progress. */
  public abstract listMoves(page: PageRequest): Promise<Page<ShardMove>>;

  /** Lists held requests: those of one team, or all if `team` is empty. */
  public abstract listHeld(team: string, page: PageRequest): Promise<Page<HeldRequest>>;

  /** Lifts the hold on a request of one team, or of any if `team` is empty. Resolves with whether it was held. */
  public abstract liftHeld(id: string, team: string): Promise<boolean>;

  /** Returns the metrics of the daemons in a scope, merged. */
  public abstract readMetrics(scope: MetricsScope): Promise<MetricsSnapshot>;

  /** Returns the state of this daemon. */
  public abstract readStatus(): Promise<DaemonStatus>;

  /** Determines what each daemon would do with a request. */
  public abstract explain(query: ExplainQuery, page: PageRequest): Promise<Page<ExplainedDaemon>>;
}
