/** Steps from the root of a document to a value: property names and array positions. */
export type DocumentPath = readonly (string | number)[];
