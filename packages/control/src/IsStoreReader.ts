import type { Cell } from '#assignment/Cell.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { chooseReaders } from '#control/ChooseReaders.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Settings } from '#settings/Settings.js';

/**
 * Whether a daemon watches the store for its region. The readers are members of the first cell of the first service, so
 * that their number does not grow with the fleet. Without a catalogue, each cell has its own readers.
 */
export function isStoreReader(
  { serverId, region }: Pick<Settings, 'serverId' | 'region'>,
  ownName: string,
  ownCell: Cell | undefined,
  catalogue: Catalogue | undefined,
): boolean {
  if (ownCell === undefined) return false;
  const first = catalogue?.services.map(({ name }) => name).sort()[0];
  if (first !== undefined && ownName !== formatCellName(first, 0)) return false;
  return chooseReaders(ownCell, region).includes(serverId);
}
