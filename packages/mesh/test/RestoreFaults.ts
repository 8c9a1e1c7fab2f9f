import { HarshFaults } from './HarshFaults.js';

/** Adds restores of the store from backups that are seconds old. */
export class RestoreFaults extends HarshFaults {
  public override readonly hasRestores: boolean = true;
}
