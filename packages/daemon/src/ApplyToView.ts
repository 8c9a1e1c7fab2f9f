import { putCell } from '#assignment/PutCell.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { FleetView } from '#daemon/FleetView.js';

/** Returns the view with an event of the control plane applied. */
export function applyToView(view: FleetView, event: ControlEvent): FleetView {
  switch (event.type) {
    case 'catalogue':
      return { ...view, catalogue: event.catalogue, index: indexCatalogue(event.catalogue) };
    case 'intent':
      return { ...view, intentVersion: event.version, intent: event.intent };
    case 'cell':
      return { ...view, cells: putCell(view.cells, event.cell) };
    default:
      return view;
  }
}
