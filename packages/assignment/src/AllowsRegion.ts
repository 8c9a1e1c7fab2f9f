/** Whether a member in `region` may own shards of `placement`. */
export function allowsRegion(placement: string, region: string): boolean {
  return placement === '*' || placement.split('+').includes(region);
}
