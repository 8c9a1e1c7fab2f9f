/**
 * Returns the size of a grant. A contended limit is divided in proportion to demand. Of a limit that is not contended,
 * a client gets more than it asks for, up to half of what is free, which leaves room for bursts and for other clients.
 * @param total demand of all clients, including `demand`
 */
export function computeGrantSize(whole: number, free: number, demand: number, total: number): number {
  if (demand <= 0 || free <= 0) return 0;
  const proportional = (whole * demand) / total;
  const wanted = total > whole ? proportional : Math.max(demand, Math.min(free / 2, proportional));
  return Math.min(free, wanted);
}
