import type { LogFields } from '#core/LogFields.js';
import { RouterError } from '#core/RouterError.js';

const MAX_TEXT_LENGTH = 200;

/** Returns the log fields of an unexpected error: its step, its message and the topmost stack frame. */
export function describeFault(err: unknown): LogFields {
  const step = err instanceof RouterError ? err.fields.step : 'invariant';
  const text = err instanceof Error ? `${err.name}: ${err.message}` : String(err);
  const frames = (err instanceof Error ? (err.stack ?? '') : '').split('\n');
  const at = frames.find((frame) => frame.startsWith('    at '))?.trim();
  return { step, message: text.slice(0, MAX_TEXT_LENGTH), at: at?.slice(0, MAX_TEXT_LENGTH) };
}
