/** Returns the name of a run of a backend server, which may start again under the same id. */
export function formatIncarnation(instanceId: string, bornMs: number): string {
  return `${instanceId}/${bornMs}`;
}
