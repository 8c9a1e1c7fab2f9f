/** Returns the slope of the least-squares line through points `[x, y]`; 0 for fewer than two. */
export function fitSlope(points: readonly (readonly [number, number])[]): number {
  const count = points.length;
  if (count < 2) return 0;
  const meanX = points.reduce((total, [x]) => total + x, 0) / count;
  const meanY = points.reduce((total, [, y]) => total + y, 0) / count;
  const covariance = points.reduce((total, [x, y]) => total + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((total, [x]) => total + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : covariance / variance;
}
