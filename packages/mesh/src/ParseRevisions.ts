/** Parses the revisions of a message between daemons; an empty list if they are missing or malformed. */
export function parseRevisions(text: string | readonly string[] | undefined): readonly number[] {
  if (typeof text !== 'string' || text === '') return [];
  const revisions = text.split('.').map(Number);
  return revisions.every((each) => Number.isSafeInteger(each)) ? revisions : [];
}
