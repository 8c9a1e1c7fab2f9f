import type { IncomingHttpHeaders } from 'node:http';
import type { ExecutionStatus } from '#core/ExecutionStatus.js';
import type { CallResponse } from '#load/CallResponse.js';

const DEFAULT_RETRY_AFTER_MS = 50;

interface Refusal {
  readonly ran?: unknown;
  readonly retryAfterMs?: unknown;
  readonly at?: unknown;
}

/** Reads a response: its router headers and, for a refusal, its JSON body. */
export function readCallResponse(status: number, headers: IncomingHttpHeaders, body: Buffer): CallResponse {
  const refusal = status >= 400 ? parseRefusal(body) : {};
  return {
    status,
    ran: status < 400 ? 'ran' : readExecutionStatus(refusal.ran),
    epoch: readHeader(headers, 'amr-epoch'),
    owner: readHeader(headers, 'amr-owner'),
    delivery: readHeader(headers, 'amr-delivery'),
    retryAfterMs: typeof refusal.retryAfterMs === 'number' ? refusal.retryAfterMs : DEFAULT_RETRY_AFTER_MS,
    alternatives: Array.isArray(refusal.at)
      ? refusal.at.filter((address): address is string => typeof address === 'string')
      : [],
    body,
  };
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function readExecutionStatus(value: unknown): ExecutionStatus {
  return value === 'not run' || value === 'ran' ? value : 'unknown';
}

function parseRefusal(body: Buffer): Refusal {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}
