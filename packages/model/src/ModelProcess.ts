import type { FenceState } from '#lease/FenceState.js';
import type { HolderState } from '#lease/HolderState.js';
import type { ModelCell } from '#model/ModelCell.js';
import type { ModelRecords } from '#model/ModelRecords.js';
import type { ModelWrite } from '#model/ModelWrite.js';

/** One run of a daemon. Only the lease of server 0 has a holder and witnesses; that of the others is a flag. */
export interface ModelProcess {
  readonly server: number;
  readonly name: string;
  readonly holder: HolderState | undefined;
  /** Whether the lease of a server without a modelled holder has ended. */
  readonly isLapsed: boolean;
  /** The cell as this process has applied it. */
  readonly view: ModelCell;
  readonly fences: readonly FenceState[];
  /** Token of the shard that this process has stopped serving; 0 if none. */
  readonly releasedToken: number;
  readonly records: ModelRecords;
  readonly write: ModelWrite | undefined;
}
