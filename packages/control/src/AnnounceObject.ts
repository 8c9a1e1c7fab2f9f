import type { Intent } from '#control/Intent.js';
import type { SharedObject } from '#control/SharedObject.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { toVersioned } from '#control/ToVersioned.js';

/** Sends a newer catalogue or intent to the tasks of this daemon. */
export function announceObject(links: TaskLinks, object: SharedObject): void {
  if (object.name === 'catalogue') {
    const versioned = toVersioned(object);
    const { catalogue } = versioned;
    links.emit({ type: 'catalogue', catalogue: versioned });
    links.cell({ type: 'catalogue', catalogue });
    links.membership({ type: 'catalogue', catalogue });
    return;
  }
  const { intent } = object.value as { readonly intent: Intent };
  links.emit({ type: 'intent', version: object.version, intent });
  links.cell({ type: 'intent', intent });
  links.membership({ type: 'intent', intent });
  links.move({ type: 'intent', intent });
  const lost = { type: 'confirmedLost', serverIds: intent.confirmedLost } as const;
  links.fence(lost);
  links.witness(lost);
}
