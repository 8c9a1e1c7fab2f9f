import type { CellLoads } from '#assignment/CellLoads.js';

/** Loads of a cell before any report: all shards weigh the same and no member is in a cold start. */
export const emptyLoads: CellLoads = { shards: new Map(), shares: new Map() };
