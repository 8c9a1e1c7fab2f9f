import type { Page } from '#admin/Page.js';
import type { PropagationRow } from '#admin/PropagationRow.js';

/** How far the newest versions have spread. */
export interface Propagation {
  /** Newest versions that the answering daemon knows. */
  readonly catalogueVersion: number;
  readonly intentVersion: number;
  /** Number of daemons that are known, and of those that have both versions in force. */
  readonly daemons: number;
  readonly current: number;
  /** Daemons, those that lag behind first. */
  readonly rows: Page<PropagationRow>;
}
