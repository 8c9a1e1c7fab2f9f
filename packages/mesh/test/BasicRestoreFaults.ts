import { LoadFaults } from './LoadFaults.js';

/** Restores of the store from backups that are seconds old, with single faults and moves of keys. */
export class BasicRestoreFaults extends LoadFaults {
  public override readonly hasRestores: boolean = true;
}
