import type { DocumentFault } from '#catalogue/DocumentFault.js';
import type { DocumentPath } from '#catalogue/DocumentPath.js';

/** A document that satisfies its schema, with the positions of its values for further checks. */
export interface ParsedDocument<T> {
  readonly value: T;
  /** Makes a fault at a path; a path that the text leaves to a default is placed at its nearest parent. */
  readonly faultAt: (path: DocumentPath, message: string) => DocumentFault;
}
