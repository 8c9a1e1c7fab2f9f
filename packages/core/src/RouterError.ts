import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Error that carries the step and the peer at which it arose. */
export class RouterError extends Error {
  public readonly fields: RouterErrorFields;

  public constructor(fields: RouterErrorFields, message: string, cause?: unknown) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = 'RouterError';
    this.fields = fields;
  }
}
