import type { ShardRecords } from '#once/ShardRecords.js';

/** Events of charts/move.json. */
export type MoveEvent =
  | { readonly type: 'released'; readonly records: ShardRecords }
  | { readonly type: 'releaseExpired' }
  /** `incarnation` is the process that confirmed the records; undefined if none did. */
  | { readonly type: 'sent'; readonly incarnation: string | undefined }
  | { readonly type: 'written'; readonly accepted: boolean };
