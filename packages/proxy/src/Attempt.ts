import type { RequestBody } from '#proxy/RequestBody.js';
import type { Target } from '#proxy/Target.js';

/** The current attempt of an exchange. */
export interface Attempt {
  readonly body: RequestBody;
  /** Daemon that the request was sent to; undefined before it is sent and after it has ended. */
  readonly target: Target | undefined;
  /** Server ids of earlier attempts, to be avoided; always empty for requests that need ownership. */
  readonly tried: ReadonlySet<string>;
  readonly startedMs: number;
  /** Pauses the sender of the response; undefined until the head of the response has arrived. */
  readonly pause: (() => void) | undefined;
}
