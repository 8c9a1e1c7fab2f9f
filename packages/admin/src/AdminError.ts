import { RouterError } from '#core/RouterError.js';

/** Refusal of a request to the administration API; `details` are added to the JSON body. */
export class AdminError extends RouterError {
  public readonly details: Readonly<Record<string, unknown>>;

  public constructor(
    status: number,
    code: string,
    message: string,
    details: Readonly<Record<string, unknown>> = {},
  ) {
    super({ code, step: 'admin', peer: '', ran: 'not run', status }, message);
    this.name = 'AdminError';
    this.details = details;
  }
}
