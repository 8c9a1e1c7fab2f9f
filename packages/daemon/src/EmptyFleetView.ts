import type { FleetView } from '#daemon/FleetView.js';

/** View of a daemon that has just started. */
export const emptyFleetView: FleetView = Object.freeze({
  catalogue: undefined,
  index: undefined,
  intentVersion: 0,
  intent: { withdrawals: [], confirmedLost: [] },
  cells: new Map(),
});
