import type { ServerResponse } from 'node:http';
import type { PreparedResponse } from '#fixtures/PreparedResponse.js';
import { ResponseStyle } from '#fixtures/ResponseStyle.js';

/** Sends each response completely, with a body of a fixed size. */
export class LargeResponse extends ResponseStyle {
  public constructor(private readonly bodyBytes: number) {
    super();
  }

  public override send(res: ServerResponse, { status, headers }: PreparedResponse): boolean {
    res.writeHead(status, { ...headers, 'Content-Length': String(this.bodyBytes) });
    res.end(Buffer.alloc(this.bodyBytes, 'abcdefg'));
    return true;
  }
}
