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
 * What the administration API reaches of the daemon. Methods reject with a `RouterError`, for example with status 503
 * and step `store` while the store cannot be reached. A write resolves only once its effect is known.
 */
export abstract class AdminBackend {
  /** Catalogue in force on this daemon; `undefined` before the first one. Makes no store call. */
  public abstract readCatalogueInForce(): Promise<VersionedCatalogue | undefined>;

  /** Newest catalogue in the store; `undefined` if there is none. */
  public abstract readCatalogue(): Promise<VersionedCatalogue | undefined>;

  /** Replaces the catalogue if its version is still the expected one. */
  public abstract writeCatalogue(write: CatalogueWrite): Promise<Either<WriteConflict, VersionedCatalogue>>;

  /** Versions of the catalogue, newest first. */
  public abstract listHistory(page: PageRequest): Promise<Page<HistoryItem>>;

  /** An earlier version of the catalogue; `undefined` if it is not kept. */
  public abstract readHistory(version: number): Promise<VersionedCatalogue | undefined>;

  /** Newest operator intent in the store. */
  public abstract readIntent(): Promise<VersionedIntent>;

  /** Replaces the operator intent if its version is still the expected one. */
  public abstract writeIntent(write: IntentWrite): Promise<Either<WriteConflict, VersionedIntent>>;

  public abstract readDrainProgress(kind: Withdrawal['kind'], name: string): Promise<DrainProgress>;

  public abstract readPropagation(page: PageRequest): Promise<Propagation>;

  public abstract listMembers(filter: MemberFilter, page: PageRequest): Promise<Page<Member>>;

  /** Owners of a key, one for each placement in question. */
  public abstract findOwners(question: KeyOwnerQuery): Promise<readonly KeyOwner[]>;

  public abstract listHotKeys(page: PageRequest): Promise<Page<HotKey>>;

  public abstract listMoves(page: PageRequest): Promise<Page<ShardMove>>;

  /** Held requests; those of one team unless `team` is empty. */
  public abstract listHeld(team: string, page: PageRequest): Promise<Page<HeldRequest>>;

  /** Lifts a hold; of one team unless `team` is empty. Resolves with whether there was one. */
  public abstract liftHeld(id: string, team: string): Promise<boolean>;

  public abstract readMetrics(scope: MetricsScope): Promise<MetricsSnapshot>;

  public abstract readStatus(): Promise<DaemonStatus>;

  /** What each daemon would do with a request. */
  public abstract explain(question: ExplainQuery, page: PageRequest): Promise<Page<ExplainedDaemon>>;
}
