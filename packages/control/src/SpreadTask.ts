import { Right, type Either } from 'purify-ts';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { applyPatch } from '#catalogue/ApplyPatch.js';
import { decodeCatalogue } from '#catalogue/DecodeCatalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { announceObject } from '#control/AnnounceObject.js';
import { Backoff } from '#control/Backoff.js';
import type { CatalogueResponse } from '#control/CatalogueResponse.js';
import { PatchLog } from '#control/PatchLog.js';
import type { RouterError } from '#core/RouterError.js';
import { TickingTask } from '#core/TickingTask.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { Digest } from '#control/Digest.js';
import type { DigestCall } from '#control/DigestCall.js';
import type { Directory } from '#control/Directory.js';
import { isStoreReader } from '#control/IsStoreReader.js';
import { ObjectWriter } from '#control/ObjectWriter.js';
import { parseSeed } from '#control/ParseSeed.js';
import { pickDigestPeer } from '#control/PickDigestPeer.js';
import { SeenDigests } from '#control/SeenDigests.js';
import { selectBusiest } from '#control/SelectBusiest.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import type { SharedObject } from '#control/SharedObject.js';
import { sharedObjectCodecs } from '#control/SharedObjectCodecs.js';
import type { SpreadMessage } from '#control/SpreadMessage.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { toVersioned } from '#control/ToVersioned.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { StoreObject } from '#store/StoreObject.js';

type MessageOf<T extends SpreadMessage['type']> = Extract<SpreadMessage, { readonly type: T }>;

const OBJECT_NAMES = ['catalogue', 'intent'] as const;
/** A watch counts as one store call however long it waits, so a long wait saves calls. */
const WATCH_TIMEOUT_MS = 25_000;
const WATCH_RETRY_DELAY_MS = 1_000;
/** The delay doubles with each failed watch; this maximum keeps a reader within its store call budget. */
const WATCH_RETRY_MAX_DELAY_MS = 10_000;
const FETCH_TIMEOUT_MS = 2_000;
/** Random peers that get a digest at once when this daemon adopts a change. */
const PEERS_PER_CHANGE = 3;
/** At 13,000 changes of the catalogue a day, its patches of about 7 minutes. */
const MAX_PATCHES = 64;

/**
 * Distributes the catalogue and the operator intent: daemons exchange digests and fetch newer versions, and the readers
 * of each region watch the store.
 */
export class SpreadTask extends TickingTask<SpreadMessage> {
  private readonly patches = new PatchLog(MAX_PATCHES);
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly writer: ObjectWriter;
  private readonly seeds: readonly PeerAddress[];
  private readonly watchBackoff: Backoff;
  private readonly peerDigests = new SeenDigests();
  private objects: ReadonlyMap<string, SharedObject> = new Map();
  private directory: Directory = new Map();
  private ownName = '';
  private ownCell: Cell | undefined;
  private loads: ShardLoads | undefined;
  private watching: ReadonlySet<string> = new Set();
  private fetching: ReadonlySet<string> = new Set();

  /** `writer` is unique to this run of the process. */
  public constructor(context: ControlContext, links: TaskLinks, writer: string) {
    super(context.clock);
    this.context = context;
    this.links = links;
    this.writer = new ObjectWriter(context, writer, (name, object) => this.adoptStored(name, object));
    this.seeds = context.settings.seeds.map(parseSeed);
    this.watchBackoff = new Backoff(context.random, WATCH_RETRY_DELAY_MS, WATCH_RETRY_MAX_DELAY_MS);
  }

  protected override receive(message: SpreadMessage): void {
    switch (message.type) {
      case 'start':
        for (const name of OBJECT_NAMES) void this.loadObject(name);
        this.scheduleNextTick();
        return;
      case 'tick':
        this.scheduleNextTick();
        this.watchStore();
        void this.sendDigest(this.pickPeer());
        return;
      case 'seen':
        this.compareDigest(message);
        return;
      case 'digest':
        message.reply(this.createDigestCall(message.call.digest.n));
        this.noteDigestCall(message.call, message.from);
        return;
      case 'load':
        this.loads = message.loads;
        return;
      case 'adopt':
        this.adopt(message.object);
        return;
      case 'adoptPatches':
        this.adoptPatches(message);
        return;
      case 'readSince':
        message.reply(this.readSince(message.since));
        return;
      case 'ownCell':
        this.ownName = message.name;
        this.ownCell = message.cell;
        this.publishDigest();
        return;
      case 'directory':
        this.directory = message.directory;
        return;
      case 'read':
        message.reply(this.objects.get(message.name));
        return;
      case 'put':
        void this.writer.put(message.change).then(message.reply);
        return;
      case 'watchEnded':
        this.endWatch(message);
        return;
      case 'watchDue':
        this.resumeWatch(message.name);
        return;
      case 'fetchEnded':
        this.fetching = new Set([...this.fetching].filter((name) => name !== message.name));
        return;
      case 'status':
        this.replyStatus(message.reply);
    }
  }

  /** Adopts an object that is newer than the held one; a peer or a slow call may still deliver an older one. */
  private adopt(object: SharedObject): void {
    if (!this.isReadable(object) || object.version <= this.versionOf(object.name)) return;
    if (object.name === 'catalogue' && !this.noteCatalogue(object)) return;
    this.objects = new Map([...this.objects, [object.name, object]]);
    this.context.logger.log('adopted', { step: 'spread', object: object.name, version: object.version });
    announceObject(this.links, object);
    this.publishDigest();
    for (let count = 0; count < PEERS_PER_CHANGE; count += 1) void this.sendDigest(this.pickPeer());
  }

  /** Whether an object has the expected form; another writer may have put any value into the store. */
  private isReadable(object: SharedObject): boolean {
    const decoded = sharedObjectCodecs[object.name].decode(object);
    decoded.ifLeft((message) =>
      this.context.logger.log('objectIgnored', { step: 'spread', name: object.name, message }),
    );
    return decoded.isRight();
  }

  /** Checks a catalogue and records the patch from the held one to it. Returns false if it can't be decoded. */
  private noteCatalogue(object: SharedObject): boolean {
    const after = toVersioned(object);
    const decoded = decodeCatalogue(after.catalogue, this.context.settings.storeUrl);
    if (decoded.isLeft()) {
      const { message } = decoded.extract();
      this.context.logger.log('badCatalogue', { step: 'spread', version: object.version, error: message });
      return false;
    }
    const before = this.objects.get('catalogue');
    if (before !== undefined) this.patches.note(toVersioned(before), after);
    return true;
  }

  private adoptPatches({ patches, peer }: MessageOf<'adoptPatches'>): void {
    const current = this.objects.get('catalogue');
    if (current === undefined) return;
    const start: Either<RouterError, VersionedCatalogue> = Right(toVersioned(current));
    patches
      .reduce((result, patch) => result.chain((catalogue) => applyPatch(catalogue, patch)), start)
      .caseOf({
        // The held catalogue changed during the fetch, so that the patches don't apply. Version 0 requests the whole.
        Left: () => void this.fetchFrom('catalogue', peer, 0),
        Right: ({ version, author, catalogue }) =>
          this.adopt({ name: 'catalogue', version, value: { author, catalogue } }),
      });
  }

  private readSince(since: number): CatalogueResponse | undefined {
    const patches = this.patches.since(since);
    if (patches !== undefined) return { patches };
    const object = this.objects.get('catalogue');
    return object === undefined ? undefined : { object };
  }

  private versionOf(name: string): number {
    return this.objects.get(name)?.version ?? 0;
  }

  private digest(): Digest {
    return {
      c: this.versionOf('catalogue'),
      i: this.versionOf('intent'),
      n: this.ownName,
      v: this.ownCell?.version ?? 0,
    };
  }

  private publishDigest(): void {
    const digest = this.digest();
    this.links.lease({ type: 'digest', digest });
    this.links.witness({ type: 'digest', digest });
  }

  private compareDigest({ digest, from }: MessageOf<'seen'>): void {
    this.peerDigests.note({ serverId: from, digest, seenAtMs: this.context.clock.monotonicMs() });
    const peer = this.directory.get(from);
    if (peer === undefined) return;
    this.fetchNewer(digest, peer);
    if (digest.n !== '') this.links.cell({ type: 'seen', name: digest.n, version: digest.v, from: peer });
  }

  private async sendDigest(peer: PeerAddress | undefined): Promise<void> {
    if (peer === undefined) return;
    const channel = peer.udpPort === 0 ? 'http' : 'udp';
    const timeoutMs = this.context.settings.timings.spreadEveryMs;
    const call = this.createDigestCall(
      this.ownCell && findMember(this.ownCell, peer.serverId) ? this.ownName : '',
    );
    const response = await this.context.transport.call(peer, 'digest', call, { channel, timeoutMs });
    if (response.isLeft()) return;
    const reply = response.unsafeCoerce() as DigestCall;
    if (peer.serverId !== '') this.noteDigestCall(reply, peer.serverId);
    else this.fetchNewer(reply.digest, peer);
  }

  private noteDigestCall({ digest, loads }: DigestCall, from: string): void {
    this.post({ type: 'seen', digest, from });
    if (loads !== undefined && digest.n === this.ownName) {
      this.links.move({ type: 'load', serverId: from, loads });
    }
  }

  /** Creates a digest call; for a member of the same cell it includes the loads of this daemon's busiest shards. */
  private createDigestCall(cellName: string): DigestCall {
    const digest = this.digest();
    if (this.loads === undefined || cellName === '' || cellName !== this.ownName) return { digest };
    return { digest, loads: selectBusiest(this.loads) };
  }

  private fetchNewer(digest: Digest, peer: PeerAddress): void {
    if (digest.c > this.versionOf('catalogue')) this.fetch('catalogue', peer);
    if (digest.i > this.versionOf('intent')) this.fetch('intent', peer);
  }

  private pickPeer(): PeerAddress | undefined {
    const { random, settings } = this.context;
    return pickDigestPeer(this.directory, this.seeds, settings.serverId, random);
  }

  private fetch(name: SharedObject['name'], peer: PeerAddress): void {
    if (this.fetching.has(name)) return;
    this.fetching = new Set([...this.fetching, name]);
    void this.fetchFrom(name, peer).then(() => this.post({ type: 'fetchEnded', name }));
  }

  private async fetchFrom(
    name: SharedObject['name'],
    peer: PeerAddress,
    since = this.versionOf(name),
  ): Promise<void> {
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    const response = await this.context.transport.call(peer, 'fetch', { name, since }, options);
    response.ifRight((value) => {
      if (value === null) return;
      const received = value as CatalogueResponse | SharedObject;
      if ('name' in received) this.post({ type: 'adopt', object: received });
      else if (received.patches === undefined) this.post({ type: 'adopt', object: received.object });
      else this.post({ type: 'adoptPatches', patches: received.patches, peer });
    });
  }

  /** Loads an object at startup from the store and, in case that fails or returns an older version, from the seeds. */
  private async loadObject(name: SharedObject['name']): Promise<void> {
    const fromSeeds = this.seeds.map((seed) => this.fetchFrom(name, seed));
    const read = await this.context.store.get(name);
    read.ifRight((object) => this.adoptStored(name, object));
    await Promise.all(fromSeeds);
  }

  private adoptStored(name: SharedObject['name'], object: StoreObject | undefined): void {
    if (object === undefined) return;
    this.post({ type: 'adopt', object: { name, version: object.version, value: object.value } });
  }

  private watchStore(): void {
    if (!this.isReader()) return;
    for (const name of OBJECT_NAMES) {
      if (this.watching.has(name)) continue;
      this.watching = new Set([...this.watching, name]);
      void this.watch(name);
    }
  }

  private async watch(name: SharedObject['name']): Promise<void> {
    const read = await this.context.store.watch(name, this.versionOf(name), WATCH_TIMEOUT_MS);
    read.ifRight((object) => this.adoptStored(name, object));
    this.post({ type: 'watchEnded', name, failed: read.isLeft() });
  }

  private endWatch({ name, failed }: MessageOf<'watchEnded'>): void {
    this.watchBackoff.noteResult(failed);
    if (!failed) {
      this.resumeWatch(name);
      return;
    }
    this.context.clock.schedule(this.watchBackoff.delayMs(), () => this.post({ type: 'watchDue', name }));
  }

  private resumeWatch(name: SharedObject['name']): void {
    this.watching = new Set([...this.watching].filter((other) => other !== name));
    this.watchStore();
  }

  private isReader(): boolean {
    const object = this.objects.get('catalogue');
    const catalogue = object === undefined ? undefined : toVersioned(object).catalogue;
    return isStoreReader(this.context.settings, this.ownName, this.ownCell, catalogue);
  }

  private replyStatus(reply: MessageOf<'status'>['reply']): void {
    reply({
      catalogueVersion: this.versionOf('catalogue'),
      intentVersion: this.versionOf('intent'),
      isReader: this.isReader(),
      seen: this.peerDigests.list(),
    });
  }

  private scheduleNextTick(): void {
    const delayMs = this.context.settings.timings.spreadEveryMs * (0.75 + this.context.random.fraction() / 2);
    this.scheduleTick(delayMs);
  }
}
