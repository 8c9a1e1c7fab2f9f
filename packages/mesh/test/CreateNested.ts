/** Creates arrays nested too deeply for `JSON.stringify`. */
export function createNested(): unknown {
  const levels = 100_000;
  return JSON.parse(`${'['.repeat(levels)}${']'.repeat(levels)}`);
}
