/** A body as it travels between daemons. */
export interface PackedBody {
  readonly bytes: Buffer;
  readonly encoding: 'plain' | 'deflate';
}
