import type { EitherAsync } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import type { AdminReply } from '#admin/AdminReply.js';

/** One operation of the administration API. */
export interface AdminRoute {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path with placeholders, for example `/admin/v1/held/{id}`. */
  readonly path: string;
  /** `operationId` in the OpenAPI file. */
  readonly operation: string;
  /** Who may call it: any owner in the catalogue, or operators only. */
  readonly access: 'owner' | 'operator';
  /** Names of the permitted query parameters. */
  readonly query: readonly string[];
  readonly handle: (backend: AdminBackend, call: AdminCall) => EitherAsync<RouterError, AdminReply>;
}
