import type { ModelCell } from '#model/ModelCell.js';

/** A write whose reply the writer has not received; only the store knows its `status`. */
export interface ModelWrite {
  readonly kind: 'register' | 'move';
  readonly baseVersion: number;
  readonly cell: ModelCell;
  readonly status: 'open' | 'applied' | 'refused';
}
