import type { ModelCell } from '#model/ModelCell.js';

/** A write whose reply the writer has not received. `status` is known to the store alone. */
export interface ModelWrite {
  readonly kind: 'register' | 'move';
  readonly base: number;
  readonly cell: ModelCell;
  readonly status: 'open' | 'applied' | 'refused';
}
