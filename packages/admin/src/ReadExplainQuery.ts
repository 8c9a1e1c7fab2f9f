import { Ajv } from 'ajv';
import { Left, Right, type Either } from 'purify-ts';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { ExplainQuery } from '#admin/ExplainQuery.js';
import { readJsonBody } from '#admin/ReadJsonBody.js';

const MAX_KEY_LENGTH = 1_024;

const validate = new Ajv({ useDefaults: true }).compile<ExplainQuery>({
  type: 'object',
  additionalProperties: false,
  required: ['team', 'service', 'class'],
  properties: {
    team: { type: 'string' },
    service: { type: 'string' },
    class: { type: 'string' },
    key: { type: 'string', maxLength: MAX_KEY_LENGTH, default: '' },
    deadlineMs: { type: 'integer', minimum: 0, default: 0 },
  },
});

/** Reads the description of a request to explain. An owner may describe only its own requests. */
export function readExplainQuery(call: AdminCall): Either<AdminError, ExplainQuery> {
  return readJsonBody(call.body).chain((body: unknown) => {
    if (!validate(body)) {
      const error = validate.errors?.[0];
      const message = `the description of the request is invalid: ${error?.instancePath ?? ''} ${error?.message ?? ''}`;
      return Left(new AdminError(400, 'badQuestion', message));
    }
    if (call.author.operator || body.team === call.author.name) return Right(body);
    return Left(new AdminError(403, 'notPermitted', 'only an operator may explain requests of another team'));
  });
}
