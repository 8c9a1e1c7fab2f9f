/** Lists in each other, more deeply than can be printed. */
export function createNested(): unknown {
  const levels = 100_000;
  return JSON.parse(`${'['.repeat(levels)}${']'.repeat(levels)}`);
}
