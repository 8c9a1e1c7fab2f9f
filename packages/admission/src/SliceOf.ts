/**
 * Size of a slice. A contended limit is divided in proportion to demand. Of a limit that is not contended, a client gets
 * more than it asks for, up to half of what is free, so that a burst finds room and the next client does too.
 * @param total demand of all clients, including `demand`
 */
export function sliceOf(whole: number, free: number, demand: number, total: number): number {
  if (demand <= 0 || free <= 0) return 0;
  const proportional = (whole * demand) / total;
  const wanted = total > whole ? proportional : Math.max(demand, Math.min(free / 2, proportional));
  return Math.min(free, wanted);
}
