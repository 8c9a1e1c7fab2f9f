import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { FleetView } from '#daemon/FleetView.js';

/** Returns the view after an event of the control tasks. */
export function applyToView(view: FleetView, event: ControlEvent): FleetView {
  switch (event.type) {
    case 'catalogue':
      return { ...view, catalogue: event.catalogue, index: indexCatalogue(event.catalogue) };
    case 'intent':
      return { ...view, intentVersion: event.version, intent: event.intent };
    case 'cell': {
      const { cell } = event;
      return { ...view, cells: new Map(view.cells).set(`${cell.service}/${cell.index}`, cell) };
    }
    default:
      return view;
  }
}
