import type { DocumentPath } from '#catalogue/DocumentPath.js';

/** A contradiction within a document that satisfies its schema, before its position is known. */
export interface SemanticFault {
  readonly path: DocumentPath;
  readonly message: string;
}
