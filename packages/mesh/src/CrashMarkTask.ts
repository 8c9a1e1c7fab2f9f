import type { Either } from 'purify-ts';
import type { Cancel } from '#core/Cancel.js';
import type { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import type { CollectionItem } from '#store/CollectionItem.js';
import type { CollectionListing } from '#store/CollectionListing.js';
import type { CollectionPutResult } from '#store/CollectionPutResult.js';
import type { EraChange } from '#store/EraChange.js';
import { StoreVersion } from '#store/StoreVersion.js';
import { collections } from '#mesh/Collections.js';
import { CrashMarkList } from '#mesh/CrashMarkList.js';
import type { CrashMarkMessage } from '#mesh/CrashMarkMessage.js';
import type { CrashMarkOptions } from '#mesh/CrashMarkOptions.js';
import type { CrashMarkRecord } from '#mesh/CrashMarkRecord.js';
import { crashMarkRecordCodec } from '#mesh/CrashMarkRecordCodec.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { markRetentionMs } from '#mesh/MarkRetentionMs.js';
import type { MeshView } from '#mesh/MeshView.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import type { StoredCrashMark } from '#mesh/StoredCrashMark.js';

/** Pause before a failed call is repeated, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** Shortest time between two writes, so that many crashes do not become as many writes. */
const MIN_WRITE_INTERVAL_MS = 1_000;

/** Greatest difference between the wall clocks of two VMs for which stored marks are still read, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 60_000;

/** What another daemon has received. */
interface Delivery {
  readonly processId: string;
  readonly version: number;
}

/**
 * Keeps the other daemons of the service informed of requests that crash backend servers. New marks are sent to each until
 * it has received them, and are stored, so that a daemon that starts reads them even if all were restarted.
 */
export class CrashMarkTask extends Task<CrashMarkMessage> {
  private readonly options: CrashMarkOptions;
  private readonly marks = new CrashMarkList();
  private view: MeshView = emptyMeshView;
  private readonly deliveries = new Map<string, Delivery>();
  private readonly sending = new Set<string>();
  private revision = 0;
  private writtenVersion = 0;
  /** Last known era of the store. */
  private era = 0;
  private writtenMs = -Infinity;
  private isWriting = false;
  private isListed = false;
  private readonly timers = new Map<'list' | 'write', Cancel>();

  public constructor(options: CrashMarkOptions) {
    super();
    this.options = options;
  }

  /** Reads the marks that were set before this process started. */
  public start(): void {
    this.list();
  }

  public override stop(): void {
    super.stop();
    for (const cancel of this.timers.values()) cancel();
  }

  protected override receive(message: CrashMarkMessage): void {
    switch (message.type) {
      case 'marked':
        this.marks.add(message.marks, this.options.clock.wallMs());
        this.write();
        break;
      case 'view':
        this.noteView(message.view);
        break;
      case 'eraChanged':
        this.noteEra(message.change);
        break;
      case 'listed':
        this.noteListing(message.result);
        break;
      case 'written':
        this.noteWritten(message.version, message.result);
        break;
      case 'sent':
        this.noteSent(message.serverId, message.delivered, message);
        break;
      case 'resend':
        this.sending.delete(message.serverId);
        break;
      case 'due':
        if (message.call === 'list') this.list();
        else this.write();
    }
    this.sendAll();
  }

  /** Writes the marks again after a restore of the store, which may have lost the last ones. */
  private noteEra({ era }: EraChange): void {
    this.era = era;
    this.writtenVersion = 0;
    this.write();
  }

  private noteView(view: MeshView): void {
    this.view = view;
    for (const serverId of this.deliveries.keys())
      if (!view.servers.has(serverId)) this.deliveries.delete(serverId);
  }

  private list(): void {
    void this.options.store.list(collections.crashes).then((result) => this.post({ type: 'listed', result }));
  }

  private noteListing(result: Either<RouterError, CollectionListing>): void {
    result.caseOf({
      Left: (err) => {
        this.options.logger.log('marksUnreadable', { step: 'store', code: err.fields.code });
        this.schedule('list', RETRY_DELAY_MS);
      },
      Right: ({ items }) => {
        this.isListed = true;
        for (const item of items) this.restore(item);
        this.write();
      },
    });
  }

  /** Passes the recent marks of a stored record on, and continues the record if a former process of this daemon wrote it. */
  private restore({ name, value, revision }: CollectionItem): void {
    crashMarkRecordCodec.decode(value).caseOf({
      Left: (message) => this.options.logger.log('marksMalformed', { step: 'store', name, message }),
      Right: ({ service, marks }) => {
        const { identity, onRestored, logger } = this.options;
        const recent = marks.filter((mark) => this.isRecent(mark));
        if (name === identity.serverId) {
          this.revision = revision;
          this.marks.merge(recent);
        }
        if (service !== identity.service || recent.length === 0) return;
        logger.log('marksRestored', { step: 'store', name, marks: recent.length });
        onRestored(recent.map(({ fingerprint, death, cleared }) => ({ fingerprint, death, cleared })));
      },
    });
  }

  private isRecent({ markedMs }: StoredCrashMark): boolean {
    const ageMs = this.options.clock.wallMs() - markedMs;
    return ageMs > -MAX_CLOCK_DIFFERENCE_MS && ageMs < markRetentionMs + MAX_CLOCK_DIFFERENCE_MS;
  }

  private write(): void {
    const { store, clock, identity } = this.options;
    const { version } = this.marks;
    if (!this.isListed || this.isWriting || version === this.writtenVersion) return;
    const nowMs = clock.monotonicMs();
    const waitMs = this.writtenMs + MIN_WRITE_INTERVAL_MS - nowMs;
    if (waitMs > 0) {
      this.schedule('write', waitMs);
      return;
    }
    this.isWriting = true;
    this.writtenMs = nowMs;
    this.marks.expire(clock.wallMs());
    const record: CrashMarkRecord = { service: identity.service, marks: this.marks.describe() };
    void store
      .put(collections.crashes, identity.serverId, record, this.revision)
      .then((result) => this.post({ type: 'written', version, result }));
  }

  private noteWritten(version: number, result: Either<RouterError, CollectionPutResult>): void {
    this.isWriting = false;
    result.caseOf({
      Left: (err) => this.options.logger.log('marksNotWritten', { step: 'store', code: err.fields.code }),
      Right: (put) => {
        if (put.type === 'conflict') {
          this.revision = 0;
          if (put.current !== undefined) this.restore(put.current);
          return;
        }
        this.revision = put.item.revision;
        // A write before a restore of the store is lost.
        if (StoreVersion.eraOf(put.item.revision) === this.era) this.writtenVersion = version;
      },
    });
    this.write();
  }

  /** Sends each other daemon of the service the marks that it has not received. A new process has received none. */
  private sendAll(): void {
    if (this.marks.version === 0) return;
    this.marks.expire(this.options.clock.wallMs());
    const { serverId, service } = this.options.identity;
    for (const server of this.view.servers.values())
      if (server.serverId !== serverId && server.service === service) this.send(server);
  }

  private send({ serverId, processId, address }: ServerEntry): void {
    if (this.sending.has(serverId)) return;
    const delivery = this.deliveries.get(serverId);
    const marks = this.marks.listAfter(delivery?.processId === processId ? delivery.version : 0);
    if (marks.length === 0) return;
    const { version } = this.marks;
    this.sending.add(serverId);
    this.options.call(address, rpcMethods.marks, { marks }, (reply) =>
      this.post({ type: 'sent', serverId, processId, version, delivered: reply === true }),
    );
  }

  private noteSent(serverId: string, delivered: boolean, { processId, version }: Delivery): void {
    if (delivered) {
      this.deliveries.set(serverId, { processId, version });
      this.sending.delete(serverId);
      return;
    }
    // The server stays in `sending` until the delay is over.
    this.options.clock.schedule(RETRY_DELAY_MS, () => this.post({ type: 'resend', serverId }));
  }

  private schedule(call: 'list' | 'write', delayMs: number): void {
    this.timers.get(call)?.();
    this.timers.set(
      call,
      this.options.clock.schedule(delayMs, () => this.post({ type: 'due', call })),
    );
  }
}
