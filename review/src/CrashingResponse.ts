import type { ServerResponse } from 'node:http';
import { CompleteResponse } from '#fixtures/CompleteResponse.js';
import type { PreparedResponse } from '#fixtures/PreparedResponse.js';
import { ResponseStyle } from '#fixtures/ResponseStyle.js';

/** Reports requests that crash a backend server, by the start of their ids, instead of answering them. */
export class CrashingResponse extends ResponseStyle {
  private readonly complete = new CompleteResponse();

  public constructor(
    private readonly idPrefix: string,
    private readonly onCrash: () => void,
  ) {
    super();
  }

  public override send(res: ServerResponse, response: PreparedResponse): boolean {
    if (!String(response.headers['X-Request-Id']).startsWith(this.idPrefix))
      return this.complete.send(res, response);
    this.onCrash();
    return false;
  }
}
