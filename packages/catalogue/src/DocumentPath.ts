/** Path from the root of a document to a value, as property names and array indexes. */
export type DocumentPath = readonly (string | number)[];
