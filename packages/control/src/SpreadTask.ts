import { Left, Right, type Either } from 'purify-ts';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import { applyPatch } from '#catalogue/ApplyPatch.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { decodeCatalogue } from '#catalogue/DecodeCatalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { CatalogueAnswer } from '#control/CatalogueAnswer.js';
import { PatchLog } from '#control/PatchLog.js';
import type { Cancel } from '#core/Cancel.js';
import { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import { chooseReaders } from '#control/ChooseReaders.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { Digest } from '#control/Digest.js';
import type { DigestCall } from '#control/DigestCall.js';
import type { Directory } from '#control/Directory.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Intent } from '#control/Intent.js';
import { parseSeed } from '#control/ParseSeed.js';
import type { PutObject } from '#control/PutObject.js';
import type { PutOutcome } from '#control/PutOutcome.js';
import type { SeenVersions } from '#control/SeenVersions.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import type { SharedObject } from '#control/SharedObject.js';
import type { SpreadMessage } from '#control/SpreadMessage.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { StoreObject } from '#store/StoreObject.js';
import { updateObject } from '#store/UpdateObject.js';

type MessageOf<T extends SpreadMessage['type']> = Extract<SpreadMessage, { readonly type: T }>;

interface Authored {
  readonly author: string;
}

const NAMES = ['catalogue', 'intent'] as const;
/** A waiting watch counts as one call, so that few long ones cost less than many short ones. */
const WATCH_MS = 25_000;
/** Pause after a failed watch, doubled with each failure; the longest one keeps a reader within its call budget. */
const WATCH_RETRY_MS = 1_000;
const WATCH_RETRY_MAX_MS = 10_000;
/** Part of the digests that go to a seed: 4,300 daemons then send 170 a second to all seeds together. */
const SEED_FRACTION = 0.02;
const FETCH_TIMEOUT_MS = 2_000;
/** Peers that learn of an accepted change at once. */
const EAGER_PEERS = 3;
/** Digests of other daemons that are kept for the status. */
const SEEN_KEPT = 256;
/** A member of a full cell owns 2 shards of each placement; 24 bytes each leave a digest within one datagram. */
const LOADS_SENT = 32;

/** Versions of the catalogue for which patches are kept; at 13,000 changes a day, about 7 minutes. */
const PATCHES_KEPT = 64;

/** Spreads the catalogue and the operator intent: digests between peers, and watches by the readers of each region. */
export class SpreadTask extends Task<SpreadMessage> {
  private readonly patches = new PatchLog(PATCHES_KEPT);
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private readonly writer: string;
  private readonly seeds: readonly PeerAddress[];
  private objects: ReadonlyMap<string, SharedObject> = new Map();
  private directory: Directory = new Map();
  private ownName = '';
  private ownCell: Cell | undefined;
  private loads: ShardLoads | undefined;
  private seen: ReadonlyMap<string, SeenVersions> = new Map();
  private watching: ReadonlySet<string> = new Set();
  private fetching: ReadonlySet<string> = new Set();
  private watchFailures = 0;
  private marks = 0;
  private cancelTick: Cancel = () => undefined;

  /** `writer` is unique to this run of the process. */
  public constructor(context: ControlContext, links: TaskLinks, writer: string) {
    super();
    this.context = context;
    this.links = links;
    this.writer = writer;
    this.seeds = context.settings.seeds.map(parseSeed);
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
  }

  protected override receive(message: SpreadMessage): void {
    switch (message.type) {
      case 'start':
        for (const name of NAMES) void this.loadObject(name);
        this.scheduleTick();
        return;
      case 'tick':
        this.scheduleTick();
        this.watchStore();
        void this.sendDigest(this.pickPeer());
        return;
      case 'seen':
        this.compareDigest(message);
        return;
      case 'digest':
        message.reply(this.digestCall(message.call.digest.n));
        this.noteCall(message.call, message.from);
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
        void this.put(message.change).then(message.reply);
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

  /** Versions only rise; an older one can still arrive from a peer or from a slow call. */
  private adopt(object: SharedObject): void {
    if (object.version <= this.versionOf(object.name)) return;
    if (object.name === 'catalogue' && !this.noteCatalogue(object)) return;
    this.objects = new Map([...this.objects, [object.name, object]]);
    this.context.logger.log('adopted', { step: 'spread', object: object.name, version: object.version });
    this.announce(object);
    this.publishDigest();
    for (let count = 0; count < EAGER_PEERS; count += 1) void this.sendDigest(this.pickPeer());
  }

  /** Checks a catalogue and keeps the patch that leads to it. Returns false for one that cannot be decoded. */
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
    const held = this.objects.get('catalogue');
    if (held === undefined) return;
    const start: Either<RouterError, VersionedCatalogue> = Right(toVersioned(held));
    patches
      .reduce((result, patch) => result.chain((catalogue) => applyPatch(catalogue, patch)), start)
      .caseOf({
        // The catalogue may have changed while the patches were on their way; a whole one has no base.
        Left: () => void this.fetchFrom('catalogue', peer, 0),
        Right: ({ version, author, catalogue }) =>
          this.adopt({ name: 'catalogue', version, value: { author, catalogue } }),
      });
  }

  private readSince(since: number): CatalogueAnswer | undefined {
    const patches = this.patches.since(since);
    if (patches !== undefined) return { patches };
    const object = this.objects.get('catalogue');
    return object === undefined ? undefined : { object };
  }

  private announce({ name, version, value }: SharedObject): void {
    if (name === 'catalogue') {
      const { author, catalogue } = value as Authored & { readonly catalogue: Catalogue };
      this.links.emit({ type: 'catalogue', catalogue: { version, author, catalogue } });
      this.links.cell({ type: 'catalogue', catalogue });
      this.links.membership({ type: 'catalogue', catalogue });
      return;
    }
    const { intent } = value as Authored & { readonly intent: Intent };
    this.links.emit({ type: 'intent', version, intent });
    this.links.cell({ type: 'intent', intent });
    this.links.membership({ type: 'intent', intent });
    this.links.move({ type: 'intent', intent });
    const lost = { type: 'confirmedLost', serverIds: intent.confirmedLost } as const;
    this.links.fence(lost);
    this.links.witness(lost);
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
    const entry = { serverId: from, digest, seenAtMs: this.context.clock.monotonicMs() };
    const others = [...this.seen].filter(([serverId]) => serverId !== from);
    this.seen = new Map([...others.slice(1 - SEEN_KEPT), [from, entry]]);
    const peer = this.directory.get(from);
    if (peer === undefined) return;
    if (digest.c > this.versionOf('catalogue')) this.fetch('catalogue', peer);
    if (digest.i > this.versionOf('intent')) this.fetch('intent', peer);
    if (digest.n !== '') this.links.cell({ type: 'seen', name: digest.n, version: digest.v, from: peer });
  }

  private async sendDigest(peer: PeerAddress | undefined): Promise<void> {
    if (peer === undefined) return;
    const channel = peer.udpPort === 0 ? 'http' : 'udp';
    const timeoutMs = this.context.settings.timings.spreadEveryMs;
    const call = this.digestCall(this.ownCell && findMember(this.ownCell, peer.serverId) ? this.ownName : '');
    const answer = await this.context.transport.call(peer, 'digest', call, { channel, timeoutMs });
    if (answer.isLeft()) return;
    const reply = answer.unsafeCoerce() as DigestCall;
    if (peer.serverId !== '') this.noteCall(reply, peer.serverId);
    else this.compareSeed(reply.digest, peer);
  }

  private noteCall({ digest, loads }: DigestCall, from: string): void {
    this.post({ type: 'seen', digest, from });
    if (loads !== undefined && digest.n === this.ownName) {
      this.links.move({ type: 'load', serverId: from, loads });
    }
  }

  /** Members of one cell also exchange the load of their busiest shards. */
  private digestCall(cellName: string): DigestCall {
    const digest = this.digest();
    if (this.loads === undefined || cellName === '' || cellName !== this.ownName) return { digest };
    const busiest = Object.entries(this.loads).sort((left, right) => right[1] - left[1]);
    return { digest, loads: Object.fromEntries(busiest.slice(0, LOADS_SENT)) };
  }

  private compareSeed(digest: Digest, seed: PeerAddress): void {
    if (digest.c > this.versionOf('catalogue')) this.fetch('catalogue', seed);
    if (digest.i > this.versionOf('intent')) this.fetch('intent', seed);
  }

  private pickPeer(): PeerAddress | undefined {
    const { random, settings } = this.context;
    const members = [...this.directory.values()].filter(
      (member) => member.state !== 'gone' && member.serverId !== settings.serverId,
    );
    const useSeed = members.length === 0 || random.fraction() < SEED_FRACTION;
    return (useSeed ? random.pick(this.seeds) : undefined) ?? random.pick(members);
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
    const answer = await this.context.transport.call(peer, 'fetch', { name, since }, options);
    answer.ifRight((value) => {
      if (value === null) return;
      const received = value as CatalogueAnswer | SharedObject;
      if ('name' in received) this.post({ type: 'adopt', object: received });
      else if (received.patches === undefined) this.post({ type: 'adopt', object: received.object });
      else this.post({ type: 'adoptPatches', patches: received.patches, peer });
    });
  }

  /** Reads an object at the start from the store and, in case that fails or is behind, from the seeds. */
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
    for (const name of NAMES) {
      if (this.watching.has(name)) continue;
      this.watching = new Set([...this.watching, name]);
      void this.watch(name);
    }
  }

  private async watch(name: SharedObject['name']): Promise<void> {
    const read = await this.context.store.watch(name, this.versionOf(name), WATCH_MS);
    read.ifRight((object) => this.adoptStored(name, object));
    this.post({ type: 'watchEnded', name, failed: read.isLeft() });
  }

  private endWatch({ name, failed }: MessageOf<'watchEnded'>): void {
    if (!failed) {
      this.watchFailures = 0;
      this.resumeWatch(name);
      return;
    }
    const limitMs = Math.min(WATCH_RETRY_MAX_MS, WATCH_RETRY_MS * 2 ** this.watchFailures);
    this.watchFailures += 1;
    const pauseMs = limitMs * (0.5 + this.context.random.fraction() / 2);
    this.context.clock.schedule(pauseMs, () => this.post({ type: 'watchDue', name }));
  }

  private resumeWatch(name: SharedObject['name']): void {
    this.watching = new Set([...this.watching].filter((other) => other !== name));
    this.watchStore();
  }

  /**
   * The readers are members of the first cell of the first service, so that their number does not grow with the fleet.
   * Without a catalogue the members of each cell watch.
   */
  private isReader(): boolean {
    const { serverId, region } = this.context.settings;
    if (this.ownCell === undefined) return false;
    const object = this.objects.get('catalogue');
    const services = (object?.value as { readonly catalogue: Catalogue } | undefined)?.catalogue.services;
    const first = services?.map(({ name }) => name).sort()[0];
    if (first !== undefined && this.ownName !== formatCellName(first, 0)) return false;
    return chooseReaders(this.ownCell, region).includes(serverId);
  }

  private async put(change: PutObject): Promise<Either<RouterError, PutOutcome>> {
    const { name, value, author, ifVersion } = change;
    const authored = { author, timeMs: this.context.clock.wallMs(), [name]: value };
    const { store, operatorStore = store } = this.context;
    const updated = await updateObject(operatorStore, {
      name,
      change: (current) => ((current?.version ?? 0) === ifVersion ? authored : undefined),
      nextMark: () => `${this.writer}/${name}/${(this.marks += 1)}`,
    });
    if (updated.isLeft()) return Left(updated.extract());
    const outcome = updated.unsafeCoerce();
    if (outcome.type === 'undecided') return Right({ type: 'undecided' });
    this.adoptStored(name, outcome.object);
    const { version = 0 } = outcome.object ?? {};
    this.context.logger.log('put', { step: 'admin', object: name, author, outcome: outcome.type, version });
    if (outcome.type === 'accepted') return Right({ type: 'accepted', version: outcome.version });
    return Right({ type: 'conflict', version, author: (outcome.object?.value as Authored).author });
  }

  private replyStatus(reply: MessageOf<'status'>['reply']): void {
    reply({
      catalogueVersion: this.versionOf('catalogue'),
      intentVersion: this.versionOf('intent'),
      isReader: this.isReader(),
      seen: [...this.seen.values()],
    });
  }

  private scheduleTick(): void {
    const delayMs = this.context.settings.timings.spreadEveryMs * (0.75 + this.context.random.fraction() / 2);
    this.cancelTick = this.context.clock.schedule(delayMs, () => this.post({ type: 'tick' }));
  }
}

function toVersioned({ version, value }: SharedObject): VersionedCatalogue {
  const { author, catalogue } = value as Authored & { readonly catalogue: Catalogue };
  return { version, author, catalogue };
}
