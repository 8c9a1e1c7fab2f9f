import type { Page } from '#admin/Page.js';
import type { PropagationRow } from '#admin/PropagationRow.js';

/** Which daemons have the newest catalogue and operator intent in force. */
export interface Propagation {
  /** Newest version that the responding daemon knows. */
  readonly catalogueVersion: number;
  /** Newest version that the responding daemon knows. */
  readonly intentVersion: number;
  /** Number of known daemons. */
  readonly daemons: number;
  /** Number of daemons with both versions in force. */
  readonly current: number;
  /** Versions of each daemon; daemons with older versions come first. */
  readonly rows: Page<PropagationRow>;
}
