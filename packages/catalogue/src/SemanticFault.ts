import type { DocumentPath } from '#catalogue/DocumentPath.js';

/** An error in a document that satisfies its schema, before its position in the text is known. */
export interface SemanticFault {
  readonly path: DocumentPath;
  readonly message: string;
}
