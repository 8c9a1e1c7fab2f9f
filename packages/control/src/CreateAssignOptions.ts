import type { AssignOptions } from '#assignment/AssignOptions.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { Directory } from '#control/Directory.js';
import type { Intent } from '#control/Intent.js';

/** Returns the options for assigning a service's shards, from the catalogue, the intent and the known members. */
export function createAssignOptions(
  service: string,
  catalogue: Catalogue | undefined,
  intent: Intent,
  directory: Directory,
): AssignOptions {
  const graceMs = catalogue?.services.find(({ name }) => name === service)?.orderGraceMs ?? 0;
  return { graceMs, peers: [...directory.values()], withdrawn: intent.withdrawals };
}
