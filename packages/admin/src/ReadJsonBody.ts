import { Either, Left, Right } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';

type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a body as a JSON object. */
export function readJsonBody(body: string): Either<AdminError, JsonObject> {
  return Either.encase((): unknown => JSON.parse(body))
    .mapLeft((error) => new AdminError(400, 'badJson', `the body is not JSON: ${error.message}`))
    .chain((value) =>
      isObject(value) ? Right(value) : Left(new AdminError(400, 'badJson', 'the body must be a JSON object')),
    );
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
