import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Directory } from '#control/Directory.js';
import type { Intent } from '#control/Intent.js';

/** Returns what an assignment of a service takes into account beside the cell. */
export function createAssignOptions(
  service: string,
  catalogue: Catalogue | undefined,
  intent: Intent,
  directory: Directory,
): AssignOptions {
  const graceMs = catalogue?.services.find(({ name }) => name === service)?.orderGraceMs ?? 0;
  return { graceMs, peers: [...directory.values()], withdrawn: intent.withdrawals };
}
