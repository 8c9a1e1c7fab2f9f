import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Error with machine-readable fields, such as the step at which it occurred. */
export class RouterError extends Error {
  public readonly fields: RouterErrorFields;

  public constructor(fields: RouterErrorFields, message: string, cause?: unknown) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = 'RouterError';
    this.fields = fields;
  }
}
