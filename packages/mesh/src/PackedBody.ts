/** A message body as it is sent between daemons, with its content encoding. */
export interface PackedBody {
  readonly bytes: Buffer;
  readonly encoding: 'plain' | 'deflate';
}
