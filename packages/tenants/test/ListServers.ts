/** Lists the ids of a simulated fleet. */
export function listServers(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `d${index}`);
}
