import { describeFault } from '#core/DescribeFault.js';
import type { Logger } from '#core/Logger.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import { RouteIndex } from '#routes/RouteIndex.js';
import type { CollectionChange } from '#store/CollectionChange.js';
import { LeaveMemory } from '#mesh/LeaveMemory.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import type { RouteDecoder } from '#mesh/RouteDecoder.js';
import { serverEntryCodec } from '#mesh/ServerEntryCodec.js';
import type { MeshView } from '#mesh/MeshView.js';
import type { WatchedCollection } from '#mesh/WatchedCollection.js';

type Apply = (view: MeshView, change: CollectionChange) => MeshView;

/**
 * Applies changes of stored objects to a view. Objects that cannot be decoded are logged and leave the view
 * unchanged.
 */
export class ChangeApplier {
  private readonly decoder: RouteDecoder;
  private readonly logger: Logger;
  private readonly leaves = new LeaveMemory();
  private readonly appliers: Readonly<Record<WatchedCollection, Apply>>;

  public constructor(decoder: RouteDecoder, logger: Logger) {
    this.decoder = decoder;
    this.logger = logger;
    this.appliers = {
      routes: (view, change) => this.applyRoutes(view, change),
      evacuations: (view, change) => applyEvacuation(view, change),
      servers: (view, change) => this.applyServer(view, change),
      ranges: (view, change) => this.applyTable(view, change),
    };
  }

  public apply(
    view: MeshView,
    collection: WatchedCollection,
    changes: readonly CollectionChange[],
  ): MeshView {
    return changes.reduce((current, change) => this.applyOne(current, collection, change), view);
  }

  /** Catches errors thrown by a decoder, so that one faulty object does not keep the others out of the view. */
  private applyOne(view: MeshView, collection: WatchedCollection, change: CollectionChange): MeshView {
    try {
      return this.appliers[collection](view, change);
    } catch (err) {
      this.logger.log('objectFailed', {
        ...describeFault(err),
        step: 'store',
        collection,
        name: change.item.name,
      });
      return view;
    }
  }

  private applyRoutes(view: MeshView, { item, deleted }: CollectionChange): MeshView {
    if (deleted) return view;
    return this.decoder.decode(item.name, item.value).caseOf({
      Left: (err) => this.ignore(view, item.name, err.message),
      Right: (table) => {
        const current = view.routes?.table.version ?? -1;
        if (table.version <= current) return view;
        this.logger.log('routesApplied', {
          version: table.version,
          before: current,
          revision: item.revision,
        });
        return { ...view, routes: new RouteIndex(table) };
      },
    });
  }

  private applyServer(view: MeshView, { item, deleted }: CollectionChange): MeshView {
    const servers = new Map(view.servers);
    if (deleted) {
      servers.delete(item.name);
      return { ...view, servers };
    }
    return serverEntryCodec.decode(item.value).caseOf({
      Left: (message) => this.ignore(view, item.name, message),
      Right: (stored) => {
        const entry = this.leaves.apply(stored, item.revision);
        if (entry !== stored)
          this.logger.log('leaveKept', {
            step: 'store',
            server: entry.serverId,
            state: entry.state,
            incarnation: entry.incarnation,
          });
        servers.set(item.name, entry);
        this.logger.log('serverChanged', {
          server: entry.serverId,
          state: entry.state,
          incarnation: entry.incarnation,
          revision: item.revision,
        });
        return { ...view, servers };
      },
    });
  }

  private applyTable(view: MeshView, { item, deleted }: CollectionChange): MeshView {
    if (deleted) return this.ignore(view, item.name, 'a table of key ranges was deleted');
    return rangeTableCodec.decode(item.value).caseOf({
      Left: (message) => this.ignore(view, item.name, message),
      Right: (table: RangeTable) => {
        const known = view.tables.get(item.name);
        if (known !== undefined && known.revision >= item.revision) return view;
        const tables = new Map(view.tables).set(item.name, { table, revision: item.revision });
        return { ...view, tables };
      },
    });
  }

  private ignore(view: MeshView, name: string, message: string): MeshView {
    this.logger.log('objectIgnored', { step: 'store', name, message });
    return view;
  }
}

function applyEvacuation(view: MeshView, { item, deleted }: CollectionChange): MeshView {
  const evacuated = new Set(view.evacuated);
  if (deleted) evacuated.delete(item.name);
  else evacuated.add(item.name);
  return { ...view, evacuated };
}
