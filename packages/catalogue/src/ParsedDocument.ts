import type { DocumentFault } from '#catalogue/DocumentFault.js';
import type { DocumentPath } from '#catalogue/DocumentPath.js';

/** A document that satisfies its schema, with a function that locates the faults found by further checks. */
export interface ParsedDocument<T> {
  readonly value: T;
  /**
   * Creates a fault at a path. If the text leaves the value to its default, the position is that of the nearest parent.
   */
  readonly faultAt: (path: DocumentPath, message: string) => DocumentFault;
}
